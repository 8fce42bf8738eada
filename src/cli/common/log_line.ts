/** Lines of instances' logs, as the tools read them. */

export interface ILogLine {
  /** Unix time in ms, by the instance's clock. */
  readonly time: number;
  readonly instance: string;
  readonly level: string;
  readonly event: string;
  /** Everything else that the line says. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Reads a line; whatever a collector put before the object is passed over. Undefined for other text. */
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
  const at = typeof time === "string" ? Date.parse(time) : NaN;
  if (Number.isNaN(at) || typeof instance !== "string" || typeof event !== "string") return undefined;
  return { time: at, instance, level: typeof level === "string" ? level : "", event, fields };
}

/** A field that should be a number; undefined where it is missing. */
export function numberOf({ fields }: ILogLine, name: string): number | undefined {
  const value = fields[name];
  return typeof value === "number" ? value : undefined;
}

/** A field that should be text; undefined where it is missing. */
export function textOf({ fields }: ILogLine, name: string): string | undefined {
  const value = fields[name];
  return typeof value === "string" ? value : undefined;
}

/** Whether the line tells how a request ended. */
export function isRequest({ event }: ILogLine): boolean {
  return event === "request" || event === "caller-left";
}
