/** Which instances report to which, derived from the owners of slices. */
import { hash64 } from "../../base/common/hash.ts";

/** Number of aggregators; each exchanges messages with all others. */
const MAX_AGGREGATORS = 12;
/** Key that all instances use to select the aggregators. */
const SELECTION_KEY = "report-aggregators";

/** Instances are identified by their hosts. */
export class ReportTopology {
  /** Hosts of all owners of slices, without duplicates. */
  readonly owners: readonly string[];
  /**
   * Whether there may be instances without a slice: no instance owns several, or there are more owners than aggregators. The
   * log may assign several slices to some of many instances, and none to the others.
   */
  readonly isAggregated: boolean;
  readonly aggregators: readonly string[];

  /** `ownerHosts` has the owner of each slice; empty for a slice without one. */
  constructor(ownerHosts: readonly string[]) {
    const assigned = ownerHosts.filter((host) => host !== "");
    this.owners = [...new Set(assigned)];
    const hasSliceEach = assigned.length > 0 && this.owners.length === assigned.length;
    this.isAggregated = hasSliceEach || this.owners.length > MAX_AGGREGATORS;
    this.aggregators = rendezvousOrder(SELECTION_KEY, this.owners).slice(0, MAX_AGGREGATORS);
  }
}

/** Orders hosts by their hashes for a key, highest first. When a host is removed, the order of the others stays. */
export function rendezvousOrder(key: string, hosts: readonly string[]): string[] {
  return hosts.map((host) => ({ host, hash: hash64(`${key}\u0000${host}`) }))
    .sort((a, b) => a.hash < b.hash ? 1 : a.hash > b.hash ? -1 : 0)
    .map(({ host }) => host);
}
