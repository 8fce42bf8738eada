/** Limits the log lines of an event that outsiders can cause as often as they like. */

/** Lines of one event within a window, and its length in ms. */
const MAX_LINES = 10;
const WINDOW_MS = 10_000;

interface IWindow {
  startedAtMs: number;
  lines: number;
  suppressed: number;
}

export type WriteLine = (event: string, fields: object) => void;

export class BoundedLog {
  readonly #write: WriteLine;
  readonly #now: () => number;
  readonly #windows = new Map<string, IWindow>();

  /** Takes the time in ms. */
  constructor(write: WriteLine, now: () => number) {
    this.#write = write;
    this.#now = now;
  }

  /** Writes a line, unless the event has had its lines. The first one after that says how many were suppressed. */
  log(event: string, fields: object): void {
    const now = this.#now();
    const window = this.#windows.get(event);
    if (window !== undefined && now - window.startedAtMs < WINDOW_MS) {
      if (window.lines >= MAX_LINES) {
        window.suppressed += 1;
        return;
      }
      window.lines += 1;
      return this.#write(event, fields);
    }
    this.#windows.set(event, { startedAtMs: now, lines: 1, suppressed: 0 });
    const suppressed = window?.suppressed ?? 0;
    this.#write(event, suppressed === 0 ? fields : { ...fields, suppressed });
  }
}
