/** Routes requests to the owner of their program, which is this instance or a peer. */
import { Clock, Effect } from "effect";
import { CallError, PeerError, toError } from "../../base/common/errors.ts";
import type { EndCause, ProgramSpec } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import { Ran, Reason } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { Member, ProgramSnapshot } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { CallEvent, CallRequest, ProgramReply } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { sliceOf } from "../../base/common/ids.ts";
import type { ICallResult, OnToken } from "../../call/common/call_run.ts";
import type { CallService } from "../../call/common/call_service.ts";
import type { PeerClient, PeerClients } from "../../membership/common/peer_client.ts";
import type { ViewTracker } from "../../membership/common/view.ts";
import { isSameIncarnation } from "../../membership/common/view.ts";
import { toCallError } from "../../peer/common/failures.ts";
import type { ProgramService } from "../../program/common/program_service.ts";
import { makeSnapshot } from "../../program/common/program_store.ts";

/** Time after which a request that has no reachable owner is refused. */
const OWNER_WAIT_TIMEOUT_MS = 8000;
const RETRY_INTERVAL_MS = 40;
const PROGRAM_CALL_TIMEOUT_MS = 6000;
const RETRY_AFTER_MS = 2000;
/** Interval at which a forwarded call checks that its owner is still in the view. */
const OWNER_CHECK_MS = 200;

export interface IOwnerRouterOptions {
  readonly self: Member;
  readonly views: ViewTracker;
  readonly peers: PeerClients;
  readonly calls: CallService;
  readonly programs: ProgramService;
}

/**
 * Error of one attempt. After a PeerError or NOT_OWNER the request is retried on the current owner; any other
 * CallError is final.
 */
type AttemptError = CallError | PeerError;

export class OwnerRouter {
  readonly #opts: IOwnerRouterOptions;

  constructor(opts: IOwnerRouterOptions) {
    this.#opts = opts;
  }

  /** Runs a call. Token indices restart at 0 when the call is retried after the loss of an owner. */
  call(req: CallRequest, onToken: OnToken): Effect.Effect<ICallResult, CallError> {
    return this.#withOwner(
      req.programId,
      (owner) =>
        isSameIncarnation(owner, this.#opts.self)
          ? this.#callLocal(req, onToken)
          : this.#callRemote(owner, { req, onToken }),
    );
  }

  open(spec: ProgramSpec): Effect.Effect<ProgramSnapshot, CallError> {
    return this.#withOwner(spec.programId, (owner) => {
      if (isSameIncarnation(owner, this.#opts.self)) {
        return Effect.map(this.#opts.programs.open(spec), makeSnapshot);
      }
      return this.#callProgramMethod(owner, (client, signal) => client.openProgram({ spec }, { signal }));
    });
  }

  /** Ends a program. An empty customer means that an operator ends it. */
  end(
    programId: string,
    opts: { customer: string; cause: EndCause },
  ): Effect.Effect<ProgramSnapshot, CallError> {
    return this.#withOwner(programId, (owner) => {
      if (isSameIncarnation(owner, this.#opts.self)) {
        const customer = opts.customer === "" ? undefined : opts.customer;
        return Effect.map(this.#opts.programs.end({ programId, customer, cause: opts.cause }), makeSnapshot);
      }
      return this.#callProgramMethod(
        owner,
        (client, signal) => client.endProgram({ programId, ...opts }, { signal }),
      );
    });
  }

  get(programId: string, customer: string): Effect.Effect<ProgramSnapshot, CallError> {
    return this.#withOwner(programId, (owner) => {
      if (isSameIncarnation(owner, this.#opts.self)) {
        return Effect.map(this.#opts.programs.get(programId, customer), makeSnapshot);
      }
      return this.#callProgramMethod(
        owner,
        (client, signal) => client.getProgram({ programId, customer }, { signal }),
      );
    });
  }

  /** Retries on the current owner until one answers; fails once no owner has been reachable for the timeout. */
  #withOwner<A>(
    programId: string,
    attempt: (owner: Member) => Effect.Effect<A, AttemptError>,
  ): Effect.Effect<A, CallError> {
    return Effect.gen({ self: this }, function* () {
      const slice = sliceOf(programId);
      let unavailableSince: number | undefined;
      let wasSent = false;
      while (true) {
        const attemptedAt = yield* Clock.currentTimeMillis;
        const owner = this.#opts.views.current?.ownerOf(slice);
        if (owner !== undefined) {
          const outcome = yield* Effect.result(attempt(owner));
          if (outcome._tag === "Success") return outcome.success;
          const err = outcome.failure;
          if (err instanceof CallError && err.reason !== Reason.NOT_OWNER) return yield* Effect.fail(err);
          wasSent ||= err instanceof PeerError;
        }
        const now = yield* Clock.currentTimeMillis;
        // An attempt that lasted longer than the timeout had an owner until it ended, so the wait restarts.
        if (now - attemptedAt > OWNER_WAIT_TIMEOUT_MS) unavailableSince = undefined;
        unavailableSince ??= now;
        if (now - unavailableSince > OWNER_WAIT_TIMEOUT_MS) {
          return yield* Effect.fail(ownerUnavailable(wasSent));
        }
        yield* Effect.sleep(RETRY_INTERVAL_MS);
      }
    });
  }

  #callLocal(req: CallRequest, onToken: OnToken): Effect.Effect<ICallResult, CallError> {
    return Effect.flatMap(this.#opts.calls.run(req), (run) => run.follow(onToken));
  }

  #callRemote(
    owner: Member,
    { req, onToken }: { req: CallRequest; onToken: OnToken },
  ): Effect.Effect<ICallResult, AttemptError> {
    const stream = Effect.tryPromise({
      try: (signal) =>
        readCallEvents(this.#opts.peers.get(owner.peerAddress).runCall(req, { signal }), onToken),
      catch: (err) => new PeerError(`call to owner ${owner.instanceId} failed`, toError(err)),
    });
    const answer = Effect.flatMap(
      stream,
      ({ event, replicatedOnly }): Effect.Effect<ICallResult, AttemptError> => {
        if (event.case === "completed") {
          return Effect.succeed({
            turn: event.value,
            isReplicatedOnly: replicatedOnly,
          });
        }
        if (event.case === "failed") return Effect.fail(toCallError(event.value));
        return Effect.fail(new PeerError(`owner ${owner.instanceId} ended the stream without an outcome`));
      },
    );
    return Effect.raceFirst(answer, this.#failOnRemoval(owner));
  }

  /** Fails once the owner leaves the view; an unresponsive connection to it might otherwise never end. */
  #failOnRemoval(owner: Member): Effect.Effect<never, PeerError> {
    return Effect.gen({ self: this }, function* () {
      while (this.#opts.views.current?.find(owner) !== undefined) yield* Effect.sleep(OWNER_CHECK_MS);
      return yield* Effect.fail(new PeerError(`owner ${owner.instanceId} is no longer in the view`));
    });
  }

  #callProgramMethod(
    owner: Member,
    invoke: (client: PeerClient, signal: AbortSignal) => Promise<ProgramReply>,
  ): Effect.Effect<ProgramSnapshot, AttemptError> {
    const reply = this.#opts.peers.call(owner.peerAddress, { timeoutMs: PROGRAM_CALL_TIMEOUT_MS, invoke });
    return Effect.flatMap(reply, ({ program, failure }): Effect.Effect<ProgramSnapshot, AttemptError> => {
      if (failure !== undefined) return Effect.fail(toCallError(failure));
      if (program !== undefined) return Effect.succeed(program);
      return Effect.fail(
        new PeerError(`owner ${owner.instanceId} sent a reply without a program or failure`),
      );
    });
  }
}

/** Forwards a call's tokens and returns its final event. */
async function readCallEvents(events: AsyncIterable<CallEvent>, onToken: OnToken): Promise<CallEvent> {
  for await (const message of events) {
    if (message.event.case !== "token") return message;
    onToken(message.event.value);
  }
  throw new PeerError("the stream ended early");
}

/** A request that was sent to an owner before it became unreachable may have run. */
function ownerUnavailable(wasSent: boolean): CallError {
  return new CallError(Reason.OWNER_UNAVAILABLE, {
    ran: wasSent ? Ran.UNKNOWN : Ran.NOT_RUN,
    retryAfterMs: RETRY_AFTER_MS,
    detail: "the program has no reachable owner now",
  });
}
