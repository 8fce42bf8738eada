/** A running or finished call, which any number of listeners may follow from its start. */
import { create } from "@bufbuild/protobuf";
import { Effect, Exit } from "effect";
import type { CallError } from "../../base/common/errors.ts";
import type { Turn } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { TokenEvent } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { TokenEventSchema } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { Signal } from "../../base/common/signal.ts";

/** The recorded answer of a call. */
export interface ICallAnswer {
  readonly turn: Turn;
  /** The answer is held by other instances until the log service is back. */
  readonly isReplicatedOnly: boolean;
}

export type OnToken = (token: TokenEvent) => void;

export class CallRun {
  readonly programId: string;
  readonly step: number;
  /** Hash of the request, to tell a repeat from a conflict. */
  readonly fingerprint: bigint;
  readonly #changed = new Signal();
  #tokens: string[] = [];
  #generation = 0;
  #outcome: Exit.Exit<ICallAnswer, CallError> | undefined;
  /** Tokens reserved from the budgets while the call runs. */
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

  /** Discards the tokens of an attempt that failed; the next attempt starts from the first token. */
  restart(): void {
    this.#tokens = [];
    this.#generation += 1;
    this.#changed.notify();
  }

  finish(outcome: Exit.Exit<ICallAnswer, CallError>): void {
    this.#outcome = outcome;
    this.#changed.notify();
  }

  /**
   * Passes on all tokens from the first, then returns the outcome. After a restart the tokens come
   * from index 0 again; the receiver compares them with what it has delivered.
   */
  follow(onToken: OnToken): Effect.Effect<ICallAnswer, CallError> {
    return Effect.gen({ self: this }, function* () {
      let generation = this.#generation;
      let next = 0;
      while (true) {
        if (generation !== this.#generation) {
          generation = this.#generation;
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

  /** A run that only replays a recorded turn. */
  static replay(turn: Turn, tokens: readonly string[]): CallRun {
    const run = new CallRun({ programId: "", step: turn.step, fingerprint: turn.fingerprint });
    run.#tokens = [...tokens];
    run.#outcome = Exit.succeed({ turn, isReplicatedOnly: false });
    return run;
  }
}
