/** Tables for people, on standard output. */

/** Cell of a table. Numbers are set to the right. */
export type Cell = string | number;

const gap = "  ";

/** Formats rows under headings. */
export function formatTable(headings: readonly string[], rows: readonly (readonly Cell[])[]): string {
    if (rows.length === 0) return "none\n";
    const texts = rows.map(row => row.map(formatCell));
    const widths = headings.map((heading, column) => Math.max(heading.length, ...texts.map(row => row[column]!.length)));
    const isNumber = headings.map((_, column) => typeof rows[0]![column] === "number");
    const formatRow = (row: readonly string[]) =>
        row.map((text, column) => isNumber[column] ? text.padStart(widths[column]!) : text.padEnd(widths[column]!)).join(gap).trimEnd();
    return `${[formatRow(headings), ...texts.map(formatRow)].join("\n")}\n`;
}

function formatCell(cell: Cell): string {
    return typeof cell === "number" ? cell.toLocaleString("en-US") : cell;
}
