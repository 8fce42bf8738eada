/**
 * Makes records durable: in the journal, or while the log service is out by copies on instances in two
 * other availability zones, which bring them to the journal later.
 */
import { create } from "@bufbuild/protobuf";
import type { Scope } from "effect";
import { Clock, Effect, Option } from "effect";
import type { CallError } from "../../base/common/errors.ts";
import { Ran } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { Member, Record } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { RecordSchema } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { HeldCopySchema } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import type { Membership } from "../../membership/common/membership.ts";
import type { PeerClients } from "../../membership/common/peer_client.ts";
import type { IAppendReceipt, IJournal, IPendingRecord } from "../../services/journal/common/journal.ts";
import type { JournalState } from "./journal_state.ts";
import { storeUnavailable } from "./refusals.ts";

/** Time for which a record waits for the journal before copies are made. */
const JOURNAL_PATIENCE_MS = 1500;
const HOLD_TIMEOUT_MS = 500;
/** Instances in zones other than the writer's that must hold a copy. */
const COPIES_REQUIRED = 2;

/** How a record was made durable. */
export enum Durability {
  Journal = "journal",
  Copies = "copies",
  /** A rule of the record's kind, or a change of the slice's owner, rejected it. */
  Rejected = "rejected",
}

export interface IDurableWriterOptions {
  readonly state: JournalState;
  readonly journal: IJournal;
  readonly membership: Membership;
  readonly peers: PeerClients;
  /** Owns the work that goes on after a record was written. */
  readonly scope: Scope.Scope;
}

export class DurableWriter {
  readonly #opts: IDurableWriterOptions;
  #lastCopyId = 0;

  constructor(opts: IDurableWriterOptions) {
    this.#opts = opts;
  }

  /** Fills in slice and epoch of a record that this instance writes as the owner of the slice. */
  stamp(slice: number, body: Record["body"]): Record {
    const epoch = this.#opts.state.views.current?.epochOf(slice) ?? 0;
    return create(RecordSchema, { slice, epoch, body });
  }

  /** Writes a record to the journal or, when that is out, to copies. */
  write(record: Record): Effect.Effect<Durability, CallError> {
    return Effect.gen({ self: this }, function* () {
      const pending = this.#opts.journal.append(record);
      const receipt = yield* this.#awaitJournal(pending);
      if (Option.isSome(receipt)) return receipt.value.accepted ? Durability.Journal : Durability.Rejected;
      const held = yield* this.#copy(record);
      if (held) {
        yield* this.#dropLater(pending);
        return this.#opts.state.applyLocally(record) ? Durability.Copies : Durability.Rejected;
      }
      // An outage that ends meanwhile may still bring the record through.
      if (!pending.withdraw()) {
        const late = yield* Effect.timeoutOption(pending.receipt, JOURNAL_PATIENCE_MS);
        if (Option.isSome(late)) return late.value.accepted ? Durability.Journal : Durability.Rejected;
      }
      return yield* Effect.fail(storeUnavailable(Ran.UNKNOWN));
    });
  }

  /**
   * Writes a record to the journal alone. Fails with "not run" when the log service is out; should the
   * record still get into the journal later, `undo` is appended after it.
   */
  writeToJournal(record: Record, undo: Record): Effect.Effect<boolean, CallError> {
    return Effect.gen({ self: this }, function* () {
      const pending = this.#opts.journal.append(record);
      const receipt = yield* this.#awaitJournal(pending);
      if (Option.isSome(receipt)) return receipt.value.accepted;
      if (!pending.withdraw()) yield* this.#undoLater(pending, undo);
      return yield* Effect.fail(storeUnavailable(Ran.NOT_RUN));
    });
  }

  /** Appends a record without waiting for it. */
  writeLater(record: Record): void {
    this.#opts.journal.append(record);
  }

  #undoLater(pending: IPendingRecord, undo: Record): Effect.Effect<void> {
    const wait = Effect.map(pending.receipt, ({ accepted }) => {
      if (accepted) this.writeLater(undo);
    });
    return Effect.asVoid(Effect.forkIn(wait, this.#opts.scope));
  }

  #awaitJournal(pending: IPendingRecord): Effect.Effect<Option.Option<IAppendReceipt>> {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      const out = this.#opts.journal.unavailableSince;
      const patienceMs = out === undefined
        ? JOURNAL_PATIENCE_MS
        : Math.max(0, out + JOURNAL_PATIENCE_MS - now);
      const first = yield* Effect.timeoutOption(pending.receipt, patienceMs);
      if (Option.isSome(first) || this.#opts.journal.unavailableSince !== undefined) return first;
      // The log service is slow rather than out: it confirms reads, so its answer is worth waiting for.
      return yield* Effect.timeoutOption(pending.receipt, JOURNAL_PATIENCE_MS);
    });
  }

  /** Places copies on instances in other zones; returns whether enough of them took one. */
  #copy(record: Record): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const { self } = this.#opts.membership;
      this.#lastCopyId += 1;
      const copy = create(HeldCopySchema, {
        owner: self.instanceId,
        incarnation: self.incarnation,
        copyId: this.#lastCopyId,
        record,
      });
      const holders = this.#holders();
      if (holders.length < COPIES_REQUIRED) return false;
      const asks = holders.map((holder) =>
        this.#opts.peers.call(holder.peerAddress, {
          timeoutMs: HOLD_TIMEOUT_MS,
          invoke: (client, signal) => client.holdCopies({ copies: [copy] }, { signal }),
        }).pipe(Effect.map((res) => res.held), Effect.catch(() => Effect.succeed(false)))
      );
      const answers = yield* Effect.all(asks, { concurrency: "unbounded" });
      return answers.filter((held) => held).length >= COPIES_REQUIRED;
    });
  }

  /** One live member in each other zone, up to one more than required. */
  #holders(): Member[] {
    const { self } = this.#opts.membership;
    const members = this.#opts.state.views.current?.members ?? [];
    const perZone = new Map<string, Member>();
    for (const member of members) {
      const heard = this.#opts.membership.peer(member.peerAddress);
      if (member.zone === self.zone || heard === undefined) continue;
      const best = perZone.get(member.zone);
      const bestHeard = best === undefined
        ? 0
        : this.#opts.membership.peer(best.peerAddress)?.lastHeardAt ?? 0;
      if (heard.lastHeardAt > bestHeard) perZone.set(member.zone, member);
    }
    return [...perZone.values()].slice(0, COPIES_REQUIRED + 1);
  }

  /** Tells the holders to forget a copy once its record is in the journal. */
  #dropLater(pending: IPendingRecord): Effect.Effect<void> {
    const { self } = this.#opts.membership;
    const copyIds = [this.#lastCopyId];
    const drop = Effect.gen({ self: this }, function* () {
      const { accepted } = yield* pending.receipt;
      // A rejected record belongs to the slice's new owner, which collects the copies.
      if (!accepted) return;
      const members = this.#opts.state.views.current?.members ?? [];
      const req = { owner: self.instanceId, incarnation: self.incarnation, copyIds };
      for (const member of members) {
        if (member.instanceId === self.instanceId) continue;
        yield* Effect.ignore(this.#opts.peers.call(member.peerAddress, {
          timeoutMs: HOLD_TIMEOUT_MS,
          invoke: (client, signal) => client.dropCopies(req, { signal }),
        }));
      }
    });
    return Effect.asVoid(Effect.forkIn(drop, this.#opts.scope));
  }
}
