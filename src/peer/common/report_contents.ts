/** What an instance reports of itself, and where it records the reports of others. */
import { create } from "@bufbuild/protobuf";
import type { LoadDigest } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import {
  BegunStreamSchema,
  LatencySampleSchema,
  PromptHomeSchema,
  ServerAnswersSchema,
  ServerRunSchema,
  StrikeChangeSchema,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { CrashMonitor } from "../../call/common/crash_monitor.ts";
import { fromLimitMessage, toLimitMessage } from "../../call/common/limit_message.ts";
import type { ServerLinkMonitor } from "../../call/common/server_link_monitor.ts";
import type { StreamOriginRegistry } from "../../call/common/stream_origin_registry.ts";
import { toStrikeMessage } from "../../call/common/strike_message.ts";
import type { BackendLoadTracker } from "../../routing/common/backend_load_tracker.ts";
import type { HedgingPolicy } from "../../routing/common/hedging_policy.ts";
import type { PromptCacheIndex } from "../../routing/common/prompt_cache_index.ts";
import type { LeavingServers } from "../../services/backends/common/leaving_servers.ts";
import type { ServerLimits } from "../../services/backends/common/server_limits.ts";
import type { ReportEvents } from "./report_events.ts";

/** Requests that are running on backend servers, by server id. */
export type ServerLoads = ReadonlyMap<string, number>;

export interface IReportContentsOptions {
  readonly loads: BackendLoadTracker;
  readonly caches: PromptCacheIndex;
  readonly crashes: CrashMonitor;
  readonly streams: StreamOriginRegistry;
  readonly leaving: LeavingServers;
  readonly limits: ServerLimits;
  readonly links: Pick<ServerLinkMonitor, "isCutOff">;
  /** Shares its latency samples; undefined if hedging is off. */
  readonly hedging: HedgingPolicy | undefined;
}

export class ReportContents {
  readonly #opts: IReportContentsOptions;

  constructor(opts: IReportContentsOptions) {
    this.#opts = opts;
  }

  get loads(): ServerLoads {
    return this.#opts.loads.localLoads();
  }

  get isCutOff(): boolean {
    return this.#opts.links.isCutOff;
  }

  /**
   * Returns the events for the next report; prefixes, latencies and answers are returned once only. Limits that this instance knows from
   * others are left out with `isOwnOnly`. `streamsWithinMs` is the age of the streams to return, in ms.
   */
  takeEvents(
    { isOwnOnly, streamsWithinMs }: { isOwnOnly: boolean; streamsWithinMs?: number },
  ): ReportEvents {
    const { loads, crashes, caches, leaving, limits, hedging } = this.#opts;
    return {
      strikeChanges: crashes.recentChanges().map(({ strike, ...change }) =>
        create(StrikeChangeSchema, { strike: toStrikeMessage(strike), ...change })
      ),
      prefixes: caches.takeUnreportedPrefixes().map((prefix) => create(PromptHomeSchema, prefix)),
      streams: this.recentStreams(streamsWithinMs),
      leaving: leaving.listRecent().map((run) => create(ServerRunSchema, run)),
      limits: limits.listRecentChanges({ isOwnOnly }).map(toLimitMessage),
      latencySamples: (hedging?.takeUnreportedSamples() ?? []).map((sample) =>
        create(LatencySampleSchema, sample)
      ),
      serverAnswers: loads.failureRates.takeUnreported().map((answers) =>
        create(ServerAnswersSchema, answers)
      ),
    };
  }

  recentStreams(withinMs?: number): ReportEvents["streams"] {
    return this.#opts.streams.recentStreams(withinMs).map((stream) => create(BegunStreamSchema, stream));
  }

  /** Records the events of another instance. */
  mergeEvents(events: ReportEvents): void {
    const { loads, crashes, caches, streams, leaving, limits, hedging } = this.#opts;
    for (const { strike, isWithdrawn, isPending } of events.strikeChanges) {
      if (strike !== undefined) crashes.merge({ strike, isWithdrawn, isPending });
    }
    for (const prefix of events.prefixes) caches.recordReportedPart(prefix);
    for (const stream of events.streams) streams.add(stream);
    for (const run of events.leaving) leaving.merge(run);
    hedging?.recordReportedSamples(events.latencySamples);
    loads.failureRates.recordReported(
      events.serverAnswers.flatMap(({ run, answers, failures }) =>
        run === undefined ? [] : [{ run, answers, failures }]
      ),
    );
    for (const message of events.limits) {
      const limit = fromLimitMessage(message);
      if (limit !== undefined) limits.merge(limit);
    }
  }
}

export function loadsOf({ loads }: LoadDigest): ServerLoads {
  return new Map(loads.map(({ backendId, running }) => [backendId, running]));
}
