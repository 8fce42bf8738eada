/** Human-readable output of the command-line tool. */

/** Renders rows as a table with aligned columns and a header. */
export function renderTable(rows: readonly Readonly<Record<string, unknown>>[]): string {
  if (rows.length === 0) return "none";
  const columns = Object.keys(rows[0]);
  const cells = rows.map((row) => columns.map((column) => renderCell(row[column])));
  const widths = columns.map((column, index) =>
    Math.max(column.length, ...cells.map((line) => line[index].length))
  );
  const pad = (line: readonly string[]) =>
    line.map((cell, index) => cell.padEnd(widths[index])).join("  ").trimEnd();
  return [pad(columns), ...cells.map(pad)].join("\n");
}

function renderCell(value: unknown): string {
  if (value === null || value === undefined) return "-";
  if (Array.isArray(value)) return value.map(renderCell).join(",");
  return typeof value === "object" ? JSON.stringify(value) : String(value);
}

/** Renders an object with one name and value per line. */
export function renderFields(fields: Readonly<Record<string, unknown>>): string {
  const width = Math.max(...Object.keys(fields).map(({ length }) => length));
  return Object.entries(fields).map(([name, value]) => `${name.padEnd(width)}  ${renderCell(value)}`).join(
    "\n",
  );
}
