export { ExitCode } from "./command-line/cli-failure.js";
export type { CliIo } from "./command-line/cli-io.js";
export { runCli } from "./command-line/run-cli.js";
export { parseContractFile } from "./contract/contract-file.js";
export { toContract } from "./contract/contract-message.js";
export { createSecret } from "./contract/credential.js";
export { mergeJournals } from "./timeline/merge-journals.js";
export { renderHtml } from "./timeline/render-html.js";
export { renderText } from "./timeline/render-text.js";
