/** Server side of the peer protocol between instances. */
import { create } from "@bufbuild/protobuf";
import type { ServiceImpl } from "@connectrpc/connect";
import type { Context } from "effect";
import { Effect, Fiber, Result } from "effect";
import type { CallError } from "../../base/common/errors.ts";
import type { ProgramSpec } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type {
  CallEvent,
  CallRequest,
  PeerService,
  ProgramReply,
} from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { CallEventSchema, ProgramReplySchema } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import type { CallService } from "../../call/common/call_service.ts";
import type { SuspectIsolation } from "../../call/common/suspect_isolation.ts";
import type { ITurnRecorder } from "../../call/common/turn_recorder.ts";
import type { Membership } from "../../membership/common/membership.ts";
import type { ViewTracker } from "../../membership/common/view.ts";
import type { ConfigurationStore } from "../../services/configuration/common/configuration_store.ts";
import type { ILogService } from "../../services/log/common/log_service.ts";
import type { HeldCopies } from "../../program/common/held_copies.ts";
import type { ProgramService } from "../../program/common/program_service.ts";
import type { Program } from "../../program/common/program_store.ts";
import { makeSnapshot } from "../../program/common/program_store.ts";
import { AsyncQueue } from "./async_queue.ts";
import { toFailure } from "./failures.ts";

export interface IPeerServiceOptions {
  readonly membership: Membership;
  readonly views: ViewTracker;
  readonly calls: CallService;
  readonly programs: ProgramService;
  readonly recorder: ITurnRecorder;
  readonly configuration: ConfigurationStore;
  readonly copies: HeldCopies;
  readonly isolation: SuspectIsolation;
  readonly zone: string;
  /** Direct connection to the log service, used to relay calls of instances that cannot reach it. */
  readonly log: ILogService;
  readonly context: Context.Context<never>;
}

export function makePeerService(opts: IPeerServiceOptions): ServiceImpl<typeof PeerService> {
  const run = Effect.runPromiseWith(opts.context);
  return {
    heartbeat: (req) => run(opts.membership.handleHeartbeat(req)),
    runCall: (req, { signal }) => streamCall(req, { ...opts, signal }),
    openProgram: ({ spec }) => run(toProgramReply(opts.programs.open(spec as ProgramSpec))),
    endProgram: ({ customer, programId, cause }) =>
      run(
        toProgramReply(
          opts.programs.end({ programId, cause, customer: customer === "" ? undefined : customer }),
        ),
      ),
    getProgram: ({ customer, programId }) => run(toProgramReply(opts.programs.get(programId, customer))),
    releaseSlices: ({ viewNumber, slices }) => {
      if ((opts.views.current?.number ?? 0) < viewNumber) return { behind: true };
      return { busy: opts.calls.busyProgramsIn(slices) };
    },
    adoptTurn: ({ slice, turn, isRelease }) =>
      run(Effect.map(opts.recorder.adopt(slice, { turn, isRelease }), (accepted) => ({ accepted }))),
    acquireEngine: (req) => run(Effect.map(opts.isolation.tryAcquire(req), (granted) => ({ granted }))),
    releaseEngine: (req) => {
      opts.isolation.release(req);
      return {};
    },
    getConfiguration: () => {
      const { accepted } = opts.configuration;
      return { version: accepted?.version ?? -1, document: accepted?.document ?? "" };
    },
    relayAppend: ({ stream, data }) => run(relayAppend(opts.log, { stream, data })),
    relayRead: (req) => run(relayRead(opts.log, req)),
    holdCopies: ({ copies }) => ({ held: opts.copies.hold(copies), zone: opts.zone }),
    collectCopies: ({ slices }) => ({ copies: opts.copies.collect(slices) }),
    dropCopies: ({ owner, incarnation, copyIds }) => {
      opts.copies.drop({ owner, incarnation }, copyIds);
      return {};
    },
  };
}

function toProgramReply(operation: Effect.Effect<Program, CallError>): Effect.Effect<ProgramReply> {
  return Effect.map(Effect.result(operation), (outcome) => {
    if (Result.isFailure(outcome)) return create(ProgramReplySchema, { failure: toFailure(outcome.failure) });
    return create(ProgramReplySchema, { program: makeSnapshot(outcome.success) });
  });
}

async function* streamCall(
  req: CallRequest,
  { calls, context, signal }: IPeerServiceOptions & { signal: AbortSignal },
): AsyncGenerator<CallEvent> {
  const events = new AsyncQueue<CallEvent>();
  const followCall = Effect.gen(function* () {
    const run = yield* calls.run(req);
    return yield* run.follow((value) => {
      if (req.wantTokens) events.push(create(CallEventSchema, { event: { case: "token", value } }));
    });
  });
  const lastEvent = Effect.map(Effect.result(followCall), (outcome) => {
    if (Result.isFailure(outcome)) {
      return create(CallEventSchema, { event: { case: "failed", value: toFailure(outcome.failure) } });
    }
    const { turn, isReplicatedOnly } = outcome.success;
    return create(CallEventSchema, {
      event: { case: "completed", value: turn },
      replicatedOnly: isReplicatedOnly,
    });
  });
  const fiber = Effect.runForkWith(context)(Effect.map(lastEvent, (event) => events.end(event)));
  // A closed connection ends only this subscription; the call keeps running.
  signal.addEventListener("abort", () => events.end());
  try {
    yield* events;
  } finally {
    await Effect.runPromise(Fiber.interrupt(fiber));
  }
}

function relayAppend(log: ILogService, { stream, data }: { stream: string; data: Uint8Array }) {
  return log.append(stream, data).pipe(
    Effect.map((offset) => ({ offset, unavailable: false })),
    Effect.catch(() => Effect.succeed({ offset: -1, unavailable: true })),
  );
}

function relayRead(log: ILogService, req: { stream: string; from: number; limit: number; waitMs: number }) {
  return log.read(req.stream, req).pipe(
    Effect.map(({ entries, next, oldest }) => ({
      entries: entries.map(({ offset, data }) => ({ offset, data: new Uint8Array(data) })),
      next,
      oldest,
      unavailable: false,
    })),
    Effect.catch(() => Effect.succeed({ entries: [], next: 0, oldest: 0, unavailable: true })),
  );
}
