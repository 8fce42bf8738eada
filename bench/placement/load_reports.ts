/** Loads as each instance of a simulated fleet knows them: its own exactly, those of the others as of their last reports. */
import { BackendLoadTracker } from "../../src/routing/common/backend_load_tracker.ts";

/** Interval at which instances report, and at which each of two hops passes reports on. */
const REPORT_INTERVAL_MS = 150;
/** Instances that take part in reports if not all do: the owners of the slices. */
const OWNER_COUNT = 32;

export enum LoadKnowledge {
  /** Every instance knows the current loads. */
  Exact = "exact",
  /** Every instance receives the reports of all directly. */
  Direct = "direct",
  /** Every instance knows the loads of all, with the age that two hops give. */
  Reported = "reported",
  /** Only the owners of slices report to each other; the other instances know no load but their own. */
  OwnersOnly = "owners only",
}

export interface ILoadReportsOptions {
  readonly engineIds: readonly string[];
  readonly instances: number;
  readonly knowledge: LoadKnowledge;
  readonly now: () => number;
}

export class LoadReports {
  readonly #opts: ILoadReportsOptions;
  readonly #trackers: readonly BackendLoadTracker[];
  /** Last reports of each instance, newest last, until they have reached the others. */
  readonly #pending: { dueMs: number; instance: number; loads: ReadonlyMap<string, number> }[] = [];
  readonly #received: ReadonlyMap<string, number>[];
  /** Sum of the received reports, by engine. */
  readonly #totals = new Map<string, number>();

  constructor(opts: ILoadReportsOptions) {
    this.#opts = opts;
    this.#trackers = Array.from({ length: opts.instances }, () => new BackendLoadTracker(opts.now));
    this.#received = this.#trackers.map(() => new Map());
  }

  recordRequestStart(instance: number, engineId: string): void {
    this.#trackers[instance].recordRequestStart(engineId);
  }

  recordRequestEnd(instance: number, engineId: string): void {
    this.#trackers[instance].recordRequestEnd(engineId);
  }

  /** Whether an instance sends and receives reports. */
  isReporting(instance: number): boolean {
    return this.#opts.knowledge !== LoadKnowledge.OwnersOnly || instance < OWNER_COUNT;
  }

  /** Sends and delivers the reports that are due in this millisecond. */
  tick(): void {
    const now = this.#opts.now();
    const isExact = this.#opts.knowledge === LoadKnowledge.Exact;
    this.#trackers.forEach((tracker, instance) => {
      // Fixed phases of the instance and of the two hops that its reports take.
      if (!isExact && (now + instance * 37) % REPORT_INTERVAL_MS !== 0) return;
      const isDirect = isExact || this.#opts.knowledge === LoadKnowledge.Direct;
      const delayMs = isDirect ? 0 : instance * 53 % REPORT_INTERVAL_MS + instance * 71 % REPORT_INTERVAL_MS;
      if (this.isReporting(instance)) {
        this.#pending.push({ dueMs: now + delayMs, instance, loads: tracker.localLoads() });
      }
    });
    for (let i = this.#pending.length - 1; i >= 0; i--) {
      if (this.#pending[i].dueMs > now) continue;
      const [{ instance, loads }] = this.#pending.splice(i, 1);
      this.#add(this.#received[instance], -1);
      this.#add(loads, 1);
      this.#received[instance] = loads;
    }
  }

  /** Loads as an instance knows them now. */
  viewOf(instance: number): BackendLoadTracker {
    const tracker = this.#trackers[instance];
    if (!this.isReporting(instance)) return tracker;
    if (this.#opts.knowledge === LoadKnowledge.Exact) this.tick();
    const running = new Map(
      this.#opts.engineIds.map((id) =>
        [id, (this.#totals.get(id) ?? 0) - (this.#received[instance].get(id) ?? 0)] as const
      ),
    );
    tracker.recordPeerReport({ instance: "others", running });
    return tracker;
  }

  #add(loads: ReadonlyMap<string, number>, sign: 1 | -1): void {
    for (const [id, running] of loads) this.#totals.set(id, (this.#totals.get(id) ?? 0) + sign * running);
  }
}
