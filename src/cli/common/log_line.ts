/** Parses log lines of instances. */

export interface ILogLine {
  /** Unix time in ms, by the instance's clock. */
  readonly time: number;
  readonly instance: string;
  readonly level: string;
  readonly event: string;
  /** All other fields of the line. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses a log line. A prefix added by a log collector is skipped. Returns undefined for text that is
 * not an instance's log line.
 */
export function parseLogLine(text: string): ILogLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  let value: unknown;
  try {
    value = JSON.parse(text.slice(start));
  } catch {
    return undefined;
  }
  if (typeof value !== "object" || value === null) return undefined;
  const { time, instance, level, event, ...fields } = value as Record<string, unknown>;
  const timeMs = typeof time === "string" ? Date.parse(time) : NaN;
  if (Number.isNaN(timeMs) || typeof instance !== "string" || typeof event !== "string") return undefined;
  return { time: timeMs, instance, level: typeof level === "string" ? level : "", event, fields };
}

/** Returns a numeric field; undefined if it is missing or not a number. */
export function numberField({ fields }: ILogLine, name: string): number | undefined {
  const value = fields[name];
  return typeof value === "number" ? value : undefined;
}

/** Returns a string field; undefined if it is missing or not a string. */
export function stringField({ fields }: ILogLine, name: string): string | undefined {
  const value = fields[name];
  return typeof value === "string" ? value : undefined;
}

/** Whether the line reports the end of a request. */
export function isRequestEnd({ event }: ILogLine): boolean {
  return event === "request" || event === "caller-left";
}
