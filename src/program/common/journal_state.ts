/** State derived from the journal, and the rules by which journal records take effect. */
import type { IntentRecorded, Record } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { ViewTracker } from "../../membership/common/view.ts";
import type { IAppliedBatch } from "../../services/journal/common/journal.ts";
import { IdempotencyKeyTable } from "./idempotency_key_table.ts";
import { OrderTable } from "./order_table.ts";
import { ProgramStore } from "./program_store.ts";
import { StrikeTable } from "./strike_table.ts";

export class JournalState {
  readonly views: ViewTracker;
  readonly programs = new ProgramStore();
  readonly idempotencyKeys = new IdempotencyKeyTable();
  readonly strikes = new StrikeTable();
  readonly orders = new OrderTable();
  readonly #appliedLocally = new Set<Record>();

  constructor(views: ViewTracker) {
    this.views = views;
  }

  /** Applies a batch from the journal. Returns for each record whether it took effect. */
  applyBatch({ offset, batch }: IAppliedBatch): boolean[] {
    const writer = { instanceId: batch.writer, incarnation: batch.incarnation };
    return batch.records.map((record) => {
      if (!isGlobal(record) && !this.views.isWriterOwner(record, writer)) return false;
      if (this.#appliedLocally.delete(record)) return true;
      return this.#apply(record, offset);
    });
  }

  /**
   * Applies a record before it is in the journal, once other instances hold copies of it. The record is not
   * applied again when it is read from the journal later.
   */
  applyLocally(record: Record): boolean {
    const accepted = this.#apply(record, -1);
    if (accepted) this.#appliedLocally.add(record);
    return accepted;
  }

  #apply(record: Record, offset: number): boolean {
    const { body } = record;
    switch (body.case) {
      case "view":
        return this.views.apply(body.value);
      case "opened":
        return body.value.spec !== undefined && this.programs.open(body.value.spec, body.value.grants);
      case "turn":
        return this.#applyTurn(body.value);
      case "granted":
        return this.programs.grant(body.value.grants);
      case "intent":
        return this.#applyIntent(body.value);
      case "intentCancelled":
        return this.idempotencyKeys.cancel(body.value);
      case "ended":
        return this.programs.end(body.value);
      case "snapshot":
        return this.programs.restore(body.value);
      case "key":
        return this.idempotencyKeys.restore(body.value);
      case "strike":
        return this.strikes.add(body.value);
      case "strikesCleared":
        return this.strikes.clear(body.value.fingerprint);
      case "order":
        return this.orders.issue(body.value, offset);
      case "orderFinished":
        return this.orders.finish(body.value);
      case undefined:
        return false;
    }
  }

  #applyTurn({ programId, turn, grants }: Extract<Record["body"], { case: "turn" }>["value"]): boolean {
    if (turn === undefined || !this.programs.addTurn(programId, turn)) return false;
    this.programs.grant(grants);
    if (turn.idempotencyKey !== "") this.idempotencyKeys.complete(programId, turn);
    return true;
  }

  /** An intent takes effect only for the next step of an open program, and only if its key is unused. */
  #applyIntent(intent: IntentRecorded): boolean {
    const program = this.programs.get(intent.programId);
    if (program === undefined || program.hasEnded || intent.step !== program.nextStep) return false;
    return this.idempotencyKeys.claim(intent);
  }
}

/** Kinds of record that apply to the region rather than to one slice. Any instance may write them. */
const GLOBAL_RECORD_KINDS = new Set(["view", "strike", "strikesCleared", "order", "orderFinished"]);

function isGlobal({ body }: Record): boolean {
  return GLOBAL_RECORD_KINDS.has(body.case ?? "");
}
