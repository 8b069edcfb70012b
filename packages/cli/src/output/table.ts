const COLUMN_GAP = "  ";
const NUMBER_PATTERN = /^-?\d+(\.\d+)?%?$/;

/** Lays out rows under headers; columns of numbers are aligned to the right. */
export const formatTable = (headers: readonly string[], rows: readonly (readonly string[])[]): string => {
    const cellsOf = (column: number): string[] => rows.map(row => row[column] ?? "");
    const widths = headers.map((header, column) =>
        Math.max(header.length, ...cellsOf(column).map(cell => cell.length))
    );
    const isNumeric = headers.map((unusedHeader, column) =>
        rows.length > 0 && cellsOf(column).every(cell => NUMBER_PATTERN.test(cell))
    );
    const formatRow = (cells: readonly string[]): string =>
        cells.map((cell, column) => {
            const width = widths[column] ?? 0;
            return isNumeric[column] ? cell.padStart(width) : cell.padEnd(width);
        }).join(COLUMN_GAP).trimEnd();
    return [headers, ...rows].map(formatRow).join("\n") + "\n";
};
