/** Formats text tables for standard output. */

/** Cell of a table. Numbers are right-aligned. */
export type Cell = string | number;

const separator = "  ";

/** Formats a table with a heading row, or "none" if there are no rows. The first row decides which columns are numeric. */
export function formatTable(headings: readonly string[], rows: readonly (readonly Cell[])[]): string {
    if (rows.length === 0) return "none\n";
    const formattedRows = rows.map(row => row.map(formatCell));
    const widths = headings.map((heading, column) => Math.max(heading.length, ...formattedRows.map(row => row[column]!.length)));
    const isNumericColumn = headings.map((_, column) => typeof rows[0]![column] === "number");
    const formatRow = (row: readonly string[]) =>
        row.map((text, column) => isNumericColumn[column] ? text.padStart(widths[column]!) : text.padEnd(widths[column]!)).join(separator)
            .trimEnd();
    return `${[formatRow(headings), ...formattedRows.map(formatRow)].join("\n")}\n`;
}

function formatCell(cell: Cell): string {
    return typeof cell === "number" ? cell.toLocaleString("en-US") : cell;
}
