/** Tells limits of backend servers to the instances that may have missed the reports on them. */
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
  /** Whether this instance passes on the reports of others, which contain the changes of limits. */
  readonly isAggregator: () => boolean;
  readonly now: () => number;
}

/** Limits to be sent to some instances. */
export interface ILimitMessage {
  readonly recipients: readonly string[];
  readonly limits: readonly IServerLimit[];
}

/**
 * While all instances report to the owners of slices, the owner of a server's limit tells those that do not own slices. An
 * aggregator tells all limits to the instances that report to it for the first time.
 */
export class LimitForwarder {
  readonly #opts: ILimitForwarderOptions;
  #nextAtMs = 0;

  constructor(opts: ILimitForwarderOptions) {
    this.#opts = opts;
  }

  /** Returns what is to be sent now; nothing if the last call that returned something was too recent. */
  takeDue(): ILimitMessage[] {
    const { limits, isOwner, isAggregator, peers, instances, now } = this.#opts;
    if (now() < this.#nextAtMs) return [];
    if (isAggregator()) return this.#takeForNewReporters(limits.list(), instances.list());
    const isOwned = ({ run }: IServerLimit) => isOwner(run.backendId);
    const changes = limits.listRecentChanges().filter(isOwned);
    const inForce = limits.list().filter(isOwned);
    if (changes.length + inForce.length === 0) return [];
    const known = new Set(peers());
    const others = instances.list().filter((host) => !known.has(host));
    return this.#take([
      { recipients: others.filter((host) => instances.isNew(host, NEW_REPORTER_MS)), limits: inForce },
      { recipients: others, limits: changes },
    ]);
  }

  #takeForNewReporters(limits: readonly IServerLimit[], hosts: readonly string[]): ILimitMessage[] {
    const { instances } = this.#opts;
    return this.#take([{
      recipients: hosts.filter((host) => instances.isNew(host, NEW_REPORTER_MS)),
      limits,
    }]);
  }

  #take(messages: readonly ILimitMessage[]): ILimitMessage[] {
    const due = messages.filter(({ recipients, limits }) => recipients.length > 0 && limits.length > 0);
    if (due.length > 0) this.#nextAtMs = this.#opts.now() + FORWARD_INTERVAL_MS;
    return due;
  }
}
