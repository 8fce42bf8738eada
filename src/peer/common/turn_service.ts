/** Server side of the turn service between gateways. */
import { create } from "@bufbuild/protobuf";
import type { Context } from "effect";
import { Effect } from "effect";
import type {
  AcquirePermitRequest,
  AcquirePermitResponse,
  KeyedSnapshot,
  StrikeChange,
  TurnService,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import {
  BegunStreamSchema,
  ServerRunSchema,
  StrikeChangeSchema,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { AllotmentOwner } from "../../call/common/allotment_owner.ts";
import type { HedgeLimitOwner } from "../../call/common/hedge_limit_client.ts";
import type { CrashMonitor, IStrikeChange } from "../../call/common/crash_monitor.ts";
import type { StreamOriginRegistry } from "../../call/common/stream_origin_registry.ts";
import { toLimitMessage } from "../../call/common/limit_message.ts";
import { toStrikeMessage } from "../../call/common/strike_message.ts";
import { toUsableLimit } from "../../call/common/usable_messages.ts";
import type { SendRateLimiter } from "../../routing/common/send_rate_limiter.ts";
import type { LeavingServers } from "../../services/backends/common/leaving_servers.ts";
import type { ServerLimits } from "../../services/backends/common/server_limits.ts";
import type { KeyedTopicFollower } from "../../services/store/common/keyed_topic_follower.ts";
import type { IKeyedItems } from "../../services/store/common/partitioned_log.ts";
import type { OwnedSlices } from "../../turns/common/owned_slices.ts";
import { toSpendingMessages } from "../../turns/common/slice_state.ts";
import type { SliceGroup } from "../../turns/common/slice_group.ts";
import type { UnaryService } from "./unary_service.ts";

export interface ITurnServiceOptions {
  readonly owned: OwnedSlices;
  readonly group: SliceGroup;
  readonly configuration: KeyedTopicFollower;
  readonly backends: KeyedTopicFollower;
  readonly strikes: KeyedTopicFollower;
  readonly crashes: CrashMonitor;
  readonly streams: StreamOriginRegistry;
  readonly leaving: LeavingServers;
  readonly limits: ServerLimits;
  readonly limiter: SendRateLimiter;
  readonly allotments: AllotmentOwner;
  /** Undefined if hedging is off. */
  readonly hedgeLimit: HedgeLimitOwner | undefined;
  /** Returns peer addresses of instances that reach backend servers. */
  readonly forwarders: () => string[];
  /** Address at which peers reach this instance. */
  readonly address: string;
  /** Unix time in ms. */
  readonly now: () => number;
  readonly context: Context.Context<never>;
}

export function makeTurnService(opts: ITurnServiceOptions): UnaryService<typeof TurnService> {
  const { owned, group } = opts;
  const run = Effect.runPromiseWith(opts.context);
  return {
    beginTurn: (req) => run(owned.begin(req)),
    endTurn: (req) => run(owned.end(req)),
    storeTurn: async ({ turn }) =>
      turn === undefined ? { isOwner: false, isStored: false } : await run(owned.store(turn)),
    loadTurn: ({ turnId, organisation }) => run(owned.load(turnId, organisation)),
    getSnapshot: () => ({
      configuration: toKeyedSnapshot(opts.configuration.snapshot()),
      backends: toKeyedSnapshot(opts.backends.snapshot()),
      strikes: toKeyedSnapshot(opts.strikes.snapshot()),
      strikeChanges: opts.crashes.listChanges().map(toStrikeChange),
      leaving: opts.leaving.list().map((run) => create(ServerRunSchema, run)),
      generation: group.table.generation,
      owners: group.table.addresses.map((address, slice) => ({ slice, address })),
    }),
    releaseSlice: async (req) => {
      const spending = await run(owned.handOver(req));
      return { isReleased: spending !== undefined, programs: toSpendingMessages(spending ?? []) };
    },
    findStream: ({ attemptId, contentKey }) => {
      const resumed = { attemptId: attemptId === "" ? undefined : attemptId, contentKey };
      const streams = opts.streams.list(resumed).map((stream) => create(BegunStreamSchema, stream));
      return { streams, completeSinceMs: opts.streams.completeSinceMs };
    },
    findForwarders: () => ({ addresses: opts.forwarders() }),
    acquirePermit: (req) => acquirePermit(req, opts),
    acquireAllotment: (req) => opts.allotments.answer(req),
    acquireHedge: ({ instance: asker, ...question }) => {
      const isGranted = opts.hedgeLimit?.decide({ asker, ...question });
      return { isOwner: isGranted !== undefined, isGranted: isGranted === true };
    },
    reassigned: () => {
      group.renewNow();
      return {};
    },
  };
}

/** Grants a permit of a server that this instance owns. A limit that has ended meanwhile needs none. */
function acquirePermit(
  { instance, limit, maxWaitMs }: AcquirePermitRequest,
  { owned, group, limits, limiter, address, now }: ITurnServiceOptions,
): Partial<Omit<AcquirePermitResponse, "$typeName">> {
  const asked = toUsableLimit(limit, now());
  if (asked === undefined) return { isOwner: false };
  const { run } = asked;
  if (group.ownerOf(owned.sliceOf(run.backendId)) !== address) return { isOwner: false };
  limits.merge(asked);
  const newest = limits.get(run) ?? asked;
  if (newest.perSecond === undefined) {
    return { isOwner: true, isGranted: true, limit: toLimitMessage(newest) };
  }
  const permit = limiter.acquire({ run, perSecond: newest.perSecond, instance, maxWaitMs });
  return { isOwner: true, ...permit, limit: toLimitMessage(newest) };
}

function toStrikeChange({ strike, ...change }: IStrikeChange): StrikeChange {
  return create(StrikeChangeSchema, { strike: toStrikeMessage(strike), ...change });
}

function toKeyedSnapshot(snapshot: IKeyedItems | undefined): Omit<KeyedSnapshot, "$typeName"> | undefined {
  return snapshot === undefined ? undefined : {
    end: snapshot.end,
    items: snapshot.items.map((item) => ({ $typeName: "ragwortcleat.v1.KeyedValue" as const, ...item })),
  };
}
