/** Reads gauges and counters out of an instance's metrics. */

const PREFIX = "ragwortcleat_";

/** Values of the series without labels, by their names without the common prefix. */
export function readGauges(text: string): Record<string, number> {
  const values: Record<string, number> = {};
  for (const line of text.split("\n")) {
    const [name, value, ...rest] = line.split(" ");
    const isPlain = name.startsWith(PREFIX) && !name.includes("{") && rest.length === 0;
    if (isPlain && Number.isFinite(Number(value))) values[name.slice(PREFIX.length)] = Number(value);
  }
  return values;
}
