/** Messages of an aggregator: to the other aggregators, and to the instances that report to it. */
import type { LoadDigest } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { ReportKind } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { IOutgoingReport } from "./outgoing_report.ts";
import { makeDigest, makeEventDigest } from "./outgoing_report.ts";
import type { ReportContents } from "./report_contents.ts";
import type { ReportEvents } from "./report_events.ts";
import { countEvents, EventRelay, joinEvents } from "./report_events.ts";
import type { IReportSums, ReportGroup } from "./report_group.ts";
import { SendPacer } from "./send_pacer.ts";

export interface IAggregatorReportsOptions {
  readonly instance: string;
  readonly group: ReportGroup;
  readonly contents: ReportContents;
  readonly now: () => number;
}

export class AggregatorReports {
  readonly #opts: IAggregatorReportsOptions;
  readonly #toAggregators: EventRelay;
  readonly #toMembers: EventRelay;
  readonly #groupPacer: SendPacer;
  readonly #summaryPacer: SendPacer;

  constructor(opts: IAggregatorReportsOptions) {
    this.#opts = opts;
    this.#toAggregators = new EventRelay(opts.now);
    this.#toMembers = new EventRelay(opts.now);
    this.#groupPacer = new SendPacer(opts.now);
    this.#summaryPacer = new SendPacer(opts.now);
  }

  /** Has the next messages sent even if they are empty. */
  sendNext(): void {
    this.#groupPacer.sendNext();
    this.#summaryPacer.sendNext();
  }

  /** Has the next summary sent even if it is empty. */
  sendNextSummary(): void {
    this.#summaryPacer.sendNext();
  }

  /** Returns the regular messages, and the number of instances that they are about. */
  take(aggregators: readonly string[]): { messages: IOutgoingReport[]; instanceCount: number } {
    const { contents, group } = this.#opts;
    const own = contents.takeEvents({ isOwnOnly: true });
    const groupSums = group.sumGroup(contents);
    const sums = group.sumAll(groupSums);
    const groupEvents = joinEvents(this.#toAggregators.take(), own);
    const events = joinEvents(this.#toMembers.take(), own);
    const messages: IOutgoingReport[] = [];
    if (this.#groupPacer.takeDue({ isEmpty: isEmptyReport(groupSums, groupEvents) })) {
      const digest = this.#makeDigest(groupSums, { kind: ReportKind.GROUP, events: groupEvents });
      messages.push({ recipients: aggregators, digest });
    }
    if (this.#summaryPacer.takeDue({ isEmpty: isEmptyReport(sums, events) })) {
      const digest = this.#makeDigest(sums, { kind: ReportKind.SUMMARY, events });
      messages.push({ recipients: group.members, digest });
    }
    // Direct reporters know each other's loads, which the sums contain.
    const direct = countEvents(events) === 0 ? [] : group.directReporters;
    if (direct.length > 0) messages.push({ recipients: direct, digest: makeEventDigest(events) });
    return { messages, instanceCount: sums.instanceCount };
  }

  /** Returns the message on streams that have begun a moment ago. */
  takeUrgent(aggregators: readonly string[]): IOutgoingReport[] {
    const streams = [...this.#toAggregators.takeStreams(), ...this.#opts.contents.recentStreams()];
    if (streams.length === 0) return [];
    return [{ recipients: aggregators, digest: makeEventDigest({ kind: ReportKind.GROUP, streams }) }];
  }

  /**
   * Passes on the events of a message: those of a group to the members, all others to the other aggregators as well. Returns
   * whether there are urgent ones.
   */
  relay(digest: LoadDigest, sender: string): boolean {
    const { group } = this.#opts;
    const isDirect = digest.kind === ReportKind.UNSPECIFIED;
    if (isDirect && (digest.instance === "" || !group.isResponsibleFor(sender))) return false;
    this.#toMembers.add(digest);
    if (digest.kind === ReportKind.GROUP) return false;
    this.#toAggregators.add(digest);
    return digest.streams.length > 0;
  }

  #makeDigest(
    { loads, instanceCount, cutOffHosts }: IReportSums,
    { kind, events }: { kind: ReportKind; events: ReportEvents },
  ): LoadDigest {
    const { instance, contents: { isCutOff } } = this.#opts;
    const hosts = [...cutOffHosts];
    return makeDigest(loads, { kind, instance, instanceCount, cutOffHosts: hosts, isCutOff, ...events });
  }
}

function isEmptyReport({ loads, cutOffHosts }: IReportSums, events: ReportEvents): boolean {
  return loads.size + cutOffHosts.length + countEvents(events) === 0;
}
