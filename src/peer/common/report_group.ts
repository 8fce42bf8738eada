/** The instances that report to an aggregator, and the groups of the other aggregators. */
import type { LoadDigest } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { ReportKind } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { ServerLoads } from "./report_contents.ts";
import { rendezvousOrder } from "./report_topology.ts";

/** Time after its last report at which an instance is forgotten: several reports were then lost. */
const REPORT_TTL_MS = 1500;
/** Maximum number of hosts in a message. */
const MAX_CUT_OFF_HOSTS = 256;

interface IReporter {
  readonly kind: ReportKind;
  readonly loads: ServerLoads;
  readonly instanceCount: number;
  readonly cutOffHosts: readonly string[];
  readonly atMs: number;
}

/** Sums over some instances. */
export interface IReportSums {
  readonly loads: ServerLoads;
  readonly instanceCount: number;
  /** Hosts of the instances that reach no backend server. */
  readonly cutOffHosts: readonly string[];
}

export class ReportGroup {
  readonly #host: string;
  readonly #now: () => number;
  readonly #reporters = new Map<string, IReporter>();

  /** `host` is that of this instance. */
  constructor(host: string, now: () => number) {
    this.#host = host;
    this.#now = now;
  }

  /** Hosts that report to this instance as their aggregator. */
  get members(): string[] {
    return this.#hostsOf(ReportKind.MEMBER);
  }

  /** Hosts of the other aggregators that are heard. */
  get aggregators(): string[] {
    return this.#hostsOf(ReportKind.GROUP);
  }

  /** Whether another aggregator reports for more than itself. */
  get hasOtherGroups(): boolean {
    return this.aggregators.some((host) => this.#reporters.get(host)!.instanceCount > 1);
  }

  /** Hosts of instances that report to all owners, for which this aggregator is responsible. */
  get directReporters(): string[] {
    return this.#hostsOf(ReportKind.UNSPECIFIED).filter((host) => this.isResponsibleFor(host));
  }

  /** Returns whether the reporter is new. */
  record(host: string, digest: LoadDigest, loads: ServerLoads): boolean {
    if (digest.kind !== ReportKind.UNSPECIFIED && digest.instanceCount === 0) {
      this.#reporters.delete(host);
      return false;
    }
    const isNew = this.#reporters.get(host)?.kind !== digest.kind;
    const isGroup = digest.kind === ReportKind.GROUP;
    this.#reporters.set(host, {
      kind: digest.kind,
      loads,
      instanceCount: isGroup ? digest.instanceCount : 1,
      cutOffHosts: isGroup ? digest.cutOffHosts : digest.isCutOff ? [host] : [],
      atMs: this.#now(),
    });
    return isNew;
  }

  /** Forgets the reporters that are not heard any more. */
  evict(): void {
    const oldestMs = this.#now() - REPORT_TTL_MS;
    for (const [host, { atMs }] of this.#reporters) if (atMs < oldestMs) this.#reporters.delete(host);
  }

  /** Whether this aggregator passes on the reports of an instance that reports to all: one of those that are heard does. */
  isResponsibleFor(host: string): boolean {
    return rendezvousOrder(host, [this.#host, ...this.aggregators])[0] === this.#host;
  }

  /** Sums over the members, the direct reporters and this instance. */
  sumGroup(own: { loads: ServerLoads; isCutOff: boolean }): IReportSums {
    const hosts = [...this.members, ...this.directReporters];
    const base = {
      loads: own.loads,
      instanceCount: 1,
      cutOffHosts: own.isCutOff ? [this.#host] : [],
    };
    return sumOf([base, ...hosts.map((host) => this.#reporters.get(host)!)]);
  }

  /** Adds the other groups. */
  sumAll(group: IReportSums): IReportSums {
    return sumOf([group, ...this.aggregators.map((host) => this.#reporters.get(host)!)]);
  }

  #hostsOf(kind: ReportKind): string[] {
    return [...this.#reporters].filter(([, reporter]) => reporter.kind === kind).map(([host]) => host);
  }
}

function sumOf(parts: readonly IReportSums[]): IReportSums {
  const loads = new Map<string, number>();
  for (const part of parts) {
    for (const [id, running] of part.loads) loads.set(id, (loads.get(id) ?? 0) + running);
  }
  return {
    loads,
    instanceCount: parts.reduce((sum, { instanceCount }) => sum + instanceCount, 0),
    cutOffHosts: parts.flatMap(({ cutOffHosts }) => cutOffHosts).slice(-MAX_CUT_OFF_HOSTS),
  };
}

/** Returns loads without a part of them. */
export function subtractLoads(loads: ServerLoads, part: ServerLoads): ServerLoads {
  return new Map([...loads].map(([id, running]) => [id, Math.max(0, running - (part.get(id) ?? 0))]));
}
