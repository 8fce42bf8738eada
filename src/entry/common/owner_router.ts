/** Brings requests to the owner of their program, here or on another instance. */
import { Clock, Effect } from "effect";
import { CallError, PeerError, toError } from "../../base/common/errors.ts";
import type { EndCause, ProgramSpec } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import { Ran, Reason } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { Member, ProgramSnapshot } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { CallEvent, CallRequest, ProgramReply } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { sliceOf } from "../../base/common/ids.ts";
import type { ICallAnswer, OnToken } from "../../call/common/call_run.ts";
import type { CallService } from "../../call/common/call_service.ts";
import type { PeerClient, PeerClients } from "../../membership/common/peer_client.ts";
import type { ViewTable } from "../../membership/common/view.ts";
import { isSameRun } from "../../membership/common/view.ts";
import { toCallError } from "../../peer/common/failures.ts";
import type { ProgramService } from "../../program/common/program_service.ts";
import { makeSnapshot } from "../../program/common/program_store.ts";

/** Time for which a request may be without an owner before it is refused. */
const OWNER_PATIENCE_MS = 8000;
const RETRY_MS = 40;
const PROGRAM_TIMEOUT_MS = 6000;
const RETRY_AFTER_MS = 2000;
/** Interval at which a stream checks that its owner is still a member. */
const OWNER_CHECK_MS = 200;

export interface IOwnerRouterOptions {
  readonly self: Member;
  readonly views: ViewTable;
  readonly peers: PeerClients;
  readonly calls: CallService;
  readonly programs: ProgramService;
}

/** An error after which the request is tried again on the owner of the moment. */
type RoutedError = CallError | PeerError;

export class OwnerRouter {
  readonly #opts: IOwnerRouterOptions;

  constructor(opts: IOwnerRouterOptions) {
    this.#opts = opts;
  }

  /** Runs a call. Tokens come with their index, from 0 again after an owner was lost. */
  call(req: CallRequest, onToken: OnToken): Effect.Effect<ICallAnswer, CallError> {
    return this.#withOwner(
      req.programId,
      (owner) =>
        isSameRun(owner, this.#opts.self)
          ? this.#callHere(req, onToken)
          : this.#callThere(owner, { req, onToken }),
    );
  }

  open(spec: ProgramSpec): Effect.Effect<ProgramSnapshot, CallError> {
    return this.#withOwner(spec.programId, (owner) => {
      if (isSameRun(owner, this.#opts.self)) return Effect.map(this.#opts.programs.open(spec), makeSnapshot);
      return this.#ask(owner, (client, signal) => client.openProgram({ spec }, { signal }));
    });
  }

  /** Ends a program; an empty customer means an operator. */
  end(
    programId: string,
    opts: { customer: string; cause: EndCause },
  ): Effect.Effect<ProgramSnapshot, CallError> {
    return this.#withOwner(programId, (owner) => {
      if (isSameRun(owner, this.#opts.self)) {
        const customer = opts.customer === "" ? undefined : opts.customer;
        return Effect.map(this.#opts.programs.end({ programId, customer, cause: opts.cause }), makeSnapshot);
      }
      return this.#ask(owner, (client, signal) => client.endProgram({ programId, ...opts }, { signal }));
    });
  }

  get(programId: string, customer: string): Effect.Effect<ProgramSnapshot, CallError> {
    return this.#withOwner(programId, (owner) => {
      if (isSameRun(owner, this.#opts.self)) {
        return Effect.map(this.#opts.programs.get(programId, customer), makeSnapshot);
      }
      return this.#ask(owner, (client, signal) => client.getProgram({ programId, customer }, { signal }));
    });
  }

  /** Tries the owner of the moment until one answers; a request without an owner is refused in time. */
  #withOwner<A>(
    programId: string,
    use: (owner: Member) => Effect.Effect<A, RoutedError>,
  ): Effect.Effect<A, CallError> {
    return Effect.gen({ self: this }, function* () {
      const slice = sliceOf(programId);
      let lostAt: number | undefined;
      let wasSent = false;
      while (true) {
        const triedAt = yield* Clock.currentTimeMillis;
        const owner = this.#opts.views.current?.ownerOf(slice);
        if (owner !== undefined) {
          const outcome = yield* Effect.result(use(owner));
          if (outcome._tag === "Success") return outcome.success;
          const err = outcome.failure;
          if (err instanceof CallError && err.reason !== Reason.NOT_OWNER) return yield* Effect.fail(err);
          wasSent ||= err instanceof PeerError;
        }
        const now = yield* Clock.currentTimeMillis;
        // A call that an owner had for long has been without one only since it was lost.
        if (now - triedAt > OWNER_PATIENCE_MS) lostAt = undefined;
        lostAt ??= now;
        if (now - lostAt > OWNER_PATIENCE_MS) return yield* Effect.fail(withoutOwner(wasSent));
        yield* Effect.sleep(RETRY_MS);
      }
    });
  }

  #callHere(req: CallRequest, onToken: OnToken): Effect.Effect<ICallAnswer, CallError> {
    return Effect.flatMap(this.#opts.calls.run(req), (run) => run.follow(onToken));
  }

  #callThere(
    owner: Member,
    { req, onToken }: { req: CallRequest; onToken: OnToken },
  ): Effect.Effect<ICallAnswer, RoutedError> {
    const stream = Effect.tryPromise({
      try: (signal) => readCall(this.#opts.peers.get(owner.peerAddress).runCall(req, { signal }), onToken),
      catch: (err) => new PeerError(`owner ${owner.instanceId} failed`, toError(err)),
    });
    const answer = Effect.flatMap(
      stream,
      ({ event, replicatedOnly }): Effect.Effect<ICallAnswer, RoutedError> => {
        if (event.case === "completed") {
          return Effect.succeed({
            turn: event.value,
            isReplicatedOnly: replicatedOnly,
          });
        }
        if (event.case === "failed") return Effect.fail(toCallError(event.value));
        return Effect.fail(new PeerError(`owner ${owner.instanceId} broke off`));
      },
    );
    return Effect.raceFirst(answer, this.#awaitRemoval(owner));
  }

  /** Fails once the view no longer has the owner: a silent connection to it would otherwise never end. */
  #awaitRemoval(owner: Member): Effect.Effect<never, PeerError> {
    return Effect.gen({ self: this }, function* () {
      while (this.#opts.views.current?.find(owner) !== undefined) yield* Effect.sleep(OWNER_CHECK_MS);
      return yield* Effect.fail(new PeerError(`owner ${owner.instanceId} was removed`));
    });
  }

  #ask(
    owner: Member,
    invoke: (client: PeerClient, signal: AbortSignal) => Promise<ProgramReply>,
  ): Effect.Effect<ProgramSnapshot, RoutedError> {
    const reply = this.#opts.peers.call(owner.peerAddress, { timeoutMs: PROGRAM_TIMEOUT_MS, invoke });
    return Effect.flatMap(reply, ({ program, failure }): Effect.Effect<ProgramSnapshot, RoutedError> => {
      if (failure !== undefined) return Effect.fail(toCallError(failure));
      if (program !== undefined) return Effect.succeed(program);
      return Effect.fail(new PeerError(`owner ${owner.instanceId} sent an empty reply`));
    });
  }
}

/** Reads a call's events to the last one. */
async function readCall(events: AsyncIterable<CallEvent>, onToken: OnToken): Promise<CallEvent> {
  for await (const message of events) {
    if (message.event.case !== "token") return message;
    onToken(message.event.value);
  }
  throw new PeerError("the stream ended early");
}

/** A request that reached an owner that then fell silent may have run. */
function withoutOwner(wasSent: boolean): CallError {
  return new CallError(Reason.OWNER_UNAVAILABLE, {
    ran: wasSent ? Ran.UNKNOWN : Ran.NOT_RUN,
    retryAfterMs: RETRY_AFTER_MS,
    detail: "the program has no reachable owner now",
  });
}
