/** Parses gauges and counters from an instance's metrics. */

const PREFIX = "ragwortcleat_";

/** Returns the values of series without labels, by metric name without the common prefix. */
export function parseGauges(text: string): Record<string, number> {
  const values: Record<string, number> = {};
  for (const line of text.split("\n")) {
    const [name, value, ...rest] = line.split(" ");
    const isUnlabelled = name.startsWith(PREFIX) && !name.includes("{") && rest.length === 0;
    if (isUnlabelled && Number.isFinite(Number(value))) values[name.slice(PREFIX.length)] = Number(value);
  }
  return values;
}
