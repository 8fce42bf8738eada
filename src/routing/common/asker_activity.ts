/** Notices that instances which used to ask an owner have fallen silent, because they are lost or out of reach. */

/** Time constant of the number of questions of an instance. */
const AVERAGING_MS = 5000;
/** An instance is silent after this time without a question, or this multiple of its mean time between two. */
const MIN_SILENCE_MS = 400;
const SILENCE_GAPS = 10;
/** Number of recent questions from which an instance's silence says anything. */
const MIN_QUESTIONS = 3;
/** Time after its last question at which a silent instance is forgotten while other instances still ask. */
const RETENTION_MS = 10_000;

interface IAsker {
  /** Number of questions; older ones count less. */
  questions: number;
  lastAtMs: number;
  readonly firstAtMs: number;
}

/**
 * Estimates the share of all questions that can still reach this instance. An owner that is cut off from a part of the
 * instances keeps granting, while a fallback instance decides on the other side; each must then keep to its
 * part. Designed for dozens to hundreds of instances that each send a similar share of the requests.
 */
export class AskerActivity {
  /** Name of this instance, which is never silent. */
  readonly #self: string;
  readonly #askers = new Map<string, IAsker>();

  constructor(self: string) {
    this.#self = self;
  }

  record(name: string, now: number): void {
    const asker = this.#askers.get(name) ?? { questions: 0, lastAtMs: now, firstAtMs: now };
    asker.questions = asker.questions * Math.exp((asker.lastAtMs - now) / AVERAGING_MS) + 1;
    asker.lastAtMs = now;
    this.#askers.set(name, asker);
  }

  /** Share of the recent questions that came from instances which are not silent; 1 if none is. */
  heardShare(now: number): number {
    // While no other instance is heard, this one may be cut off from all of them, however long that takes.
    if (this.heardCount(now) > 1) this.#evict(now);
    let heard = 0;
    let silent = 0;
    for (const [name, asker] of this.#askers) {
      const isSilent = name !== this.#self && now - asker.lastAtMs > silenceMsOf(asker);
      if (isSilent && asker.questions >= MIN_QUESTIONS) silent += asker.questions;
      else heard += asker.questions;
    }
    return heard + silent === 0 ? 1 : heard / (heard + silent);
  }

  /** Number of instances that are not silent, this one included. */
  heardCount(now: number): number {
    const others = [...this.#askers].filter(([name, asker]) =>
      name !== this.#self && now - asker.lastAtMs <= silenceMsOf(asker)
    );
    return others.length + 1;
  }

  #evict(now: number): void {
    for (const [name, { lastAtMs }] of this.#askers) {
      if (lastAtMs < now - RETENTION_MS) this.#askers.delete(name);
    }
  }
}

function silenceMsOf({ questions, firstAtMs, lastAtMs }: IAsker): number {
  const gapMs = Math.min(AVERAGING_MS, lastAtMs - firstAtMs) / Math.max(1, questions);
  return Math.max(MIN_SILENCE_MS, SILENCE_GAPS * gapMs);
}
