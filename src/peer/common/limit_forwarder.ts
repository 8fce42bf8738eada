/** Forwards limits of backend servers to the instances that receive no reports because they own no slices. */
import type { IServerLimit, ServerLimits } from "../../services/backends/common/server_limits.ts";

/** Interval between two messages to the same instance. A change is repeated about three times, as datagrams may be lost. */
const FORWARD_INTERVAL_MS = 900;
/** Time after its last report at which an instance is forgotten: several intervals between reports. */
const REPORTER_TTL_MS = 10_000;
/** Time for which an instance that reports for the first time is told of all limits. */
const NEW_REPORTER_MS = 3000;

export interface ILimitForwarderOptions {
  readonly limits: ServerLimits;
  /** Whether this instance grants the permits of a server. */
  readonly isOwner: (backendId: string) => boolean;
  /** Instances that receive the regular reports. */
  readonly peers: () => readonly string[];
  readonly now: () => number;
}

/** Limits to be sent to some instances. */
export interface ILimitMessage {
  readonly recipients: readonly string[];
  readonly limits: readonly IServerLimit[];
}

interface IReporter {
  readonly firstAtMs: number;
  lastAtMs: number;
}

/**
 * Reports go to the owners of slices only, whose number does not grow with the number of instances. The owner of
 * a server's limit receives the reports of all busy instances, and tells those that do not own slices.
 */
export class LimitForwarder {
  readonly #opts: ILimitForwarderOptions;
  readonly #reporters = new Map<string, IReporter>();
  #nextAtMs = 0;

  constructor(opts: ILimitForwarderOptions) {
    this.#opts = opts;
  }

  recordReport(sender: string): void {
    const now = this.#opts.now();
    const known = this.#reporters.get(sender);
    if (known === undefined) this.#reporters.set(sender, { firstAtMs: now, lastAtMs: now });
    else known.lastAtMs = now;
  }

  /** Returns what is to be sent now; nothing if the last call that returned something was too recent. */
  takeDue(): ILimitMessage[] {
    const { limits, isOwner, peers, now } = this.#opts;
    if (now() < this.#nextAtMs) return [];
    this.#evict();
    const isOwned = ({ run }: IServerLimit) => isOwner(run.backendId);
    const changes = limits.listRecentChanges().filter(isOwned);
    const inForce = limits.list().filter(isOwned);
    if (changes.length + inForce.length === 0) return [];
    const known = new Set(peers());
    const others = [...this.#reporters].filter(([sender]) => !known.has(sender));
    const isNew = ([, { firstAtMs }]: [string, IReporter]) => firstAtMs >= now() - NEW_REPORTER_MS;
    const messages = [
      { recipients: others.filter((entry) => isNew(entry)).map(([sender]) => sender), limits: inForce },
      { recipients: others.map(([sender]) => sender), limits: changes },
    ].filter((message) => message.recipients.length > 0 && message.limits.length > 0);
    if (messages.length > 0) this.#nextAtMs = now() + FORWARD_INTERVAL_MS;
    return messages;
  }

  #evict(): void {
    const oldestMs = this.#opts.now() - REPORTER_TTL_MS;
    for (const [sender, { lastAtMs }] of this.#reporters) {
      if (lastAtMs < oldestMs) this.#reporters.delete(sender);
    }
  }
}
