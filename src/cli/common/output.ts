/** Output of the command-line tool: tables for people, JSON for programs. */

/** Renders rows as aligned columns under their names. */
export function renderTable(rows: readonly Readonly<Record<string, unknown>>[]): string {
  if (rows.length === 0) return "none";
  const columns = Object.keys(rows[0]);
  const cells = rows.map((row) => columns.map((column) => renderCell(row[column])));
  const widths = columns.map((column, at) =>
    Math.max(column.length, ...cells.map((line) => line[at].length))
  );
  const pad = (line: readonly string[]) =>
    line.map((cell, at) => cell.padEnd(widths[at])).join("  ").trimEnd();
  return [pad(columns), ...cells.map(pad)].join("\n");
}

function renderCell(value: unknown): string {
  if (value === null || value === undefined) return "-";
  if (Array.isArray(value)) return value.map(renderCell).join(",");
  return typeof value === "object" ? JSON.stringify(value) : String(value);
}

/** Renders one object as a name and a value on each line. */
export function renderFields(fields: Readonly<Record<string, unknown>>): string {
  const width = Math.max(...Object.keys(fields).map(({ length }) => length));
  return Object.entries(fields).map(([name, value]) => `${name.padEnd(width)}  ${renderCell(value)}`).join(
    "\n",
  );
}
