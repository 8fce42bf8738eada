/** Keeps log lines as JSON. Unlike loggers of the same name, two of these never share their output. */
import type { ILogger, LogLevelName } from "../../src/services/logging/common/logger.ts";

export class LineLogger implements ILogger {
  readonly lines: string[] = [];
  readonly #instance: string;

  constructor(instance: string) {
    this.#instance = instance;
  }

  debug(): void {}

  info(event: string, fields: object = {}): void {
    this.#add("info", { event, ...fields });
  }

  warn(event: string, fields: object = {}): void {
    this.#add("warn", { event, ...fields });
  }

  error(event: string, fields: object = {}): void {
    this.#add("error", { event, ...fields });
  }

  #add(level: LogLevelName, fields: object): void {
    this.lines.push(
      JSON.stringify({ time: new Date().toISOString(), level, instance: this.#instance, ...fields }),
    );
  }
}
