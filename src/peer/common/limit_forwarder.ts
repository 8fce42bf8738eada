/** Forwards limits of backend servers to the instances that receive no reports because they own no slices. */
import type { KnownInstances } from "../../call/common/known_instances.ts";
import type { IServerLimit, ServerLimits } from "../../services/backends/common/server_limits.ts";

/** Interval between two messages to the same instance. A change is repeated about three times, as datagrams may be lost. */
const FORWARD_INTERVAL_MS = 900;
/** Time for which an instance that reports for the first time is told of all limits. */
const NEW_REPORTER_MS = 3000;

export interface ILimitForwarderOptions {
  readonly limits: ServerLimits;
  /** Whether this instance grants the permits of a server. */
  readonly isOwner: (backendId: string) => boolean;
  /** Hosts of the instances that receive the regular reports. */
  readonly peers: () => readonly string[];
  readonly instances: KnownInstances;
  readonly now: () => number;
}

/** Limits to be sent to some instances. */
export interface ILimitMessage {
  readonly recipients: readonly string[];
  readonly limits: readonly IServerLimit[];
}

/**
 * Reports go to the owners of slices only, whose number does not grow with the number of instances. The owner of
 * a server's limit receives the reports of all busy instances, and tells those that do not own slices.
 */
export class LimitForwarder {
  readonly #opts: ILimitForwarderOptions;
  #nextAtMs = 0;

  constructor(opts: ILimitForwarderOptions) {
    this.#opts = opts;
  }

  /** Returns what is to be sent now; nothing if the last call that returned something was too recent. */
  takeDue(): ILimitMessage[] {
    const { limits, isOwner, peers, instances, now } = this.#opts;
    if (now() < this.#nextAtMs) return [];
    const isOwned = ({ run }: IServerLimit) => isOwner(run.backendId);
    const changes = limits.listRecentChanges().filter(isOwned);
    const inForce = limits.list().filter(isOwned);
    if (changes.length + inForce.length === 0) return [];
    const known = new Set(peers());
    const others = instances.list().filter((host) => !known.has(host));
    const messages = [
      { recipients: others.filter((host) => instances.isNew(host, NEW_REPORTER_MS)), limits: inForce },
      { recipients: others, limits: changes },
    ].filter(({ recipients, limits }) => recipients.length > 0 && limits.length > 0);
    if (messages.length > 0) this.#nextAtMs = now() + FORWARD_INTERVAL_MS;
    return messages;
  }
}
