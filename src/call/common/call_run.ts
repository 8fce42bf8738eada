/** A call in progress or completed. Any number of listeners can follow its tokens from the first one. */
import { create } from "@bufbuild/protobuf";
import { Effect, Exit } from "effect";
import type { CallError } from "../../base/common/errors.ts";
import type { Turn } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { TokenEvent } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { TokenEventSchema } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { Signal } from "../../base/common/signal.ts";

/** The recorded result of a call. */
export interface ICallResult {
  readonly turn: Turn;
  /** Whether the turn is held only by copies on other instances until the log service is available again. */
  readonly isReplicatedOnly: boolean;
}

export type OnToken = (token: TokenEvent) => void;

export class CallRun {
  readonly programId: string;
  readonly step: number;
  /** Hash of the request. Distinguishes a retry of the same request from a conflicting one. */
  readonly fingerprint: bigint;
  readonly #changed = new Signal();
  #tokens: string[] = [];
  #attempt = 0;
  #outcome: Exit.Exit<ICallResult, CallError> | undefined;
  /** Tokens reserved from the budgets for the duration of the call. */
  reservedTokens = 0;

  constructor(opts: { programId: string; step: number; fingerprint: bigint }) {
    this.programId = opts.programId;
    this.step = opts.step;
    this.fingerprint = opts.fingerprint;
  }

  get text(): string {
    return this.#tokens.join("");
  }

  addToken(text: string): void {
    this.#tokens.push(text);
    this.#changed.notify();
  }

  /** Discards the tokens of a failed attempt. The next attempt starts again from the first token. */
  restart(): void {
    this.#tokens = [];
    this.#attempt += 1;
    this.#changed.notify();
  }

  finish(outcome: Exit.Exit<ICallResult, CallError>): void {
    this.#outcome = outcome;
    this.#changed.notify();
  }

  /**
   * Passes every token to the listener, starting with the first, then returns the outcome. After a restart
   * the tokens are sent again from index 0, and the listener must skip those that it has already delivered.
   */
  follow(onToken: OnToken): Effect.Effect<ICallResult, CallError> {
    return Effect.gen({ self: this }, function* () {
      let attempt = this.#attempt;
      let next = 0;
      while (true) {
        if (attempt !== this.#attempt) {
          attempt = this.#attempt;
          next = 0;
        }
        for (; next < this.#tokens.length; next++) {
          onToken(create(TokenEventSchema, { index: next, text: this.#tokens[next] }));
        }
        if (this.#outcome !== undefined) return yield* this.#outcome;
        yield* this.#changed.wait();
      }
    });
  }

  /** Creates a completed run that replays a recorded turn. */
  static replay(turn: Turn, tokens: readonly string[]): CallRun {
    const run = new CallRun({ programId: "", step: turn.step, fingerprint: turn.fingerprint });
    run.#tokens = [...tokens];
    run.#outcome = Exit.succeed({ turn, isReplicatedOnly: false });
    return run;
  }
}
