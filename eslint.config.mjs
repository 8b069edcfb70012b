import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/gen/**", "**/node_modules/**"] },
    ...tseslint.configs.recommended,
    ...tseslint.configs.stylistic,
    {
        files: ["packages/**/*.ts", "platform/**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": "error",
            "@typescript-eslint/no-unnecessary-condition": "off",
            "@typescript-eslint/prefer-for-of": "off",
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "separate-type-imports" }],
            "@typescript-eslint/no-explicit-any": "error",
            "@typescript-eslint/no-non-null-assertion": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^unused" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase", "UPPER_CASE"] },
                { selector: "function", format: ["camelCase"] },
                { selector: "method", format: ["camelCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "one-var": ["error", "never"],
            "no-restricted-syntax": [
                "error",
                { selector: "ExportDefaultDeclaration", message: "Use named exports." },
            ],
            "max-lines": ["error", { max: 400, skipBlankLines: true, skipComments: true }],
            "max-lines-per-function": ["error", { max: 80, skipBlankLines: true, skipComments: true }],
            "complexity": ["error", 16],
        },
    },
    {
        files: ["packages/**/*.test.ts", "platform/**/*.test.ts"],
        rules: { "max-lines-per-function": "off" },
    },
);
