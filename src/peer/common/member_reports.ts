/** Reports of an instance to its aggregator. */
import type { LoadDigest } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { ReportKind } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { AggregatorSelector } from "./aggregator_selector.ts";
import type { IOutgoingReport } from "./outgoing_report.ts";
import { makeDigest, makeEventDigest, makeFarewell } from "./outgoing_report.ts";
import type { ReportContents, ServerLoads } from "./report_contents.ts";
import { loadsOf } from "./report_contents.ts";
import type { ReportEvents } from "./report_events.ts";
import { countEvents } from "./report_events.ts";
import { subtractLoads } from "./report_group.ts";
import { rendezvousOrder } from "./report_topology.ts";
import { SendPacer } from "./send_pacer.ts";

/** Age of the streams that are reported to a new aggregator, in ms: the former one may not have passed them on. */
const MOVED_STREAMS_MS = 2500;

export interface IMemberReportsOptions {
  readonly instance: string;
  readonly host: string;
  readonly contents: ReportContents;
  readonly logger: ILogger;
  readonly now: () => number;
}

export class MemberReports {
  readonly #opts: IMemberReportsOptions;
  readonly #selector: AggregatorSelector;
  readonly #pacer: SendPacer;
  #aggregator: string | undefined;
  #reportedLoads: ServerLoads = new Map();
  #summaryAtMs = -Infinity;

  constructor(opts: IMemberReportsOptions) {
    this.#opts = opts;
    this.#selector = new AggregatorSelector(opts.logger, opts.now);
    this.#pacer = new SendPacer(opts.now);
  }

  /** Time since the last summary, in ms. */
  get summaryAgeMs(): number {
    return this.#opts.now() - this.#summaryAtMs;
  }

  setAggregators(hosts: readonly string[]): void {
    this.#selector.setOrder(rendezvousOrder(this.#opts.host, hosts));
  }

  /** Has the next report sent even if it is empty. */
  sendNext(): void {
    this.#pacer.sendNext();
  }

  /** Returns the regular messages. */
  take(): IOutgoingReport[] {
    const { instance, contents } = this.#opts;
    const former = this.#aggregator;
    const aggregator = this.#selector.select();
    this.#aggregator = aggregator;
    const messages: IOutgoingReport[] = [];
    if (aggregator !== former) {
      this.#pacer.sendNext();
      if (former !== undefined) messages.push(makeFarewell([former], { kind: ReportKind.MEMBER, instance }));
    }
    const probe = this.#selector.takeProbe();
    if (probe !== undefined) messages.push({ recipients: [probe], digest: this.#makeDigest(new Map()) });
    if (aggregator === undefined) return messages;
    const { loads, isCutOff } = contents;
    const moved = aggregator === former ? {} : { streamsWithinMs: MOVED_STREAMS_MS };
    const events = contents.takeEvents({ isOwnOnly: true, ...moved });
    const isEmpty = loads.size + countEvents(events) === 0 && !isCutOff;
    if (!this.#pacer.takeDue({ isEmpty })) return messages;
    this.#reportedLoads = loads;
    return [...messages, { recipients: [aggregator], digest: this.#makeDigest(loads, events) }];
  }

  /** Returns the message on streams that have begun a moment ago. */
  takeUrgent(): IOutgoingReport[] {
    const streams = this.#opts.contents.recentStreams();
    if (this.#aggregator === undefined || streams.length === 0) return [];
    return [{
      recipients: [this.#aggregator],
      digest: makeEventDigest({ kind: ReportKind.MEMBER, streams }),
    }];
  }

  /** Evaluates a summary and returns the loads of the other instances. */
  receiveSummary(digest: LoadDigest, sender: string): ServerLoads {
    this.#selector.recordSummary(sender, { isEmpty: digest.loads.length + countEvents(digest) === 0 });
    this.#summaryAtMs = this.#opts.now();
    return subtractLoads(loadsOf(digest), this.#reportedLoads);
  }

  #makeDigest(loads: ServerLoads, events?: ReportEvents): LoadDigest {
    const { instance, contents: { isCutOff } } = this.#opts;
    return makeDigest(loads, { kind: ReportKind.MEMBER, instance, isCutOff, instanceCount: 1, ...events });
  }
}
