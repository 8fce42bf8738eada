/** Structured logging: one JSON object per line. */
import loglevel from "loglevel";

export type LogLevelName = "debug" | "info" | "warn" | "error";

export interface ILogger {
  debug(event: string, fields?: object): void;
  info(event: string, fields?: object): void;
  warn(event: string, fields?: object): void;
  error(event: string, fields?: object): void;
}

/** Writes lines through loglevel. */
export class JsonLogger implements ILogger {
  readonly #instanceId: string;
  readonly #log: loglevel.Logger;

  /** Lines go to the console unless `write` is given. */
  constructor(instanceId: string, level: LogLevelName, write?: (line: string) => void) {
    this.#instanceId = instanceId;
    // Loggers with the same name share their output.
    this.#log = loglevel.getLogger(`ragwortcleat ${instanceId}`);
    if (write !== undefined) this.#log.methodFactory = () => write;
    this.#log.setLevel(level, false);
  }

  setLevel(level: LogLevelName): void {
    this.#log.setLevel(level, false);
  }

  debug(event: string, fields: object = {}): void {
    this.#log.debug(this.#line("debug", { event, ...fields }));
  }

  info(event: string, fields: object = {}): void {
    this.#log.info(this.#line("info", { event, ...fields }));
  }

  warn(event: string, fields: object = {}): void {
    this.#log.warn(this.#line("warn", { event, ...fields }));
  }

  error(event: string, fields: object = {}): void {
    this.#log.error(this.#line("error", { event, ...fields }));
  }

  #line(level: LogLevelName, fields: object): string {
    return JSON.stringify({ time: new Date().toISOString(), level, instance: this.#instanceId, ...fields });
  }
}

/** Discards all lines. */
export class NullLogger implements ILogger {
  debug(): void {}
  info(): void {}
  warn(): void {}
  error(): void {}
}
