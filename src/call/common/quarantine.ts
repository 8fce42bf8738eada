/** Quarantines requests during which backend servers crashed. All instances share the crash records. */
import { create } from "@bufbuild/protobuf";
import { Clock, Effect } from "effect";
import { CallError } from "../../base/common/errors.ts";
import { Ran, Reason } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import {
  RecordSchema,
  StrikeRecordedSchema,
  StrikesClearedSchema,
} from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { IJournal } from "../../services/journal/common/journal.ts";
import type { StrikeTable } from "../../program/common/strike_table.ts";
import type { ISuspectIsolation } from "./suspect_isolation.ts";

/** One crash of a backend server. */
export interface ICrash {
  readonly backendId: string;
  /** Identifies the process of the backend server that crashed. */
  readonly bootId: string;
}

export interface IQuarantineOptions {
  readonly strikes: StrikeTable;
  readonly isolation: ISuspectIsolation;
  readonly journal: IJournal;
}

export class Quarantine {
  readonly #opts: IQuarantineOptions;

  constructor(opts: IQuarantineOptions) {
    this.#opts = opts;
  }

  /** Fails without a retry hint if the request is quarantined. */
  check(fingerprint: bigint): Effect.Effect<void, CallError> {
    return Effect.suspend(() => {
      if (!this.#opts.strikes.isQuarantined(fingerprint)) return Effect.void;
      const detail = "backend servers crashed while they ran this request";
      return Effect.fail(new CallError(Reason.QUARANTINED, { ran: Ran.UNKNOWN, detail }));
    });
  }

  /** Runs an attempt. A suspect request runs isolated from other suspects and is cleared if it completes. */
  runAttempt<A, E>(
    fingerprint: bigint,
    { backendId, attempt }: { backendId: string; attempt: Effect.Effect<A, E> },
  ): Effect.Effect<A, E> {
    return Effect.suspend(() => {
      if (!this.#opts.strikes.isSuspect(fingerprint)) return attempt;
      const clear = Effect.sync(() => this.#clear(fingerprint));
      return Effect.tap(this.#opts.isolation.runIsolated(backendId, attempt), () => clear);
    });
  }

  /** Records a crash that occurred while the request was running. */
  recordCrash(fingerprint: bigint, crash: ICrash): Effect.Effect<void> {
    return Effect.map(Clock.currentTimeMillis, (atMs) => {
      const value = create(StrikeRecordedSchema, { fingerprint, ...crash, atMs });
      this.#opts.strikes.add(value);
      this.#opts.journal.append(create(RecordSchema, { body: { case: "strike", value } }));
    });
  }

  #clear(fingerprint: bigint): void {
    if (!this.#opts.strikes.clear(fingerprint)) return;
    const value = create(StrikesClearedSchema, { fingerprint });
    this.#opts.journal.append(create(RecordSchema, { body: { case: "strikesCleared", value } }));
  }
}
