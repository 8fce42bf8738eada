/**
 * Makes records durable in the journal or, while the log service is unavailable, through copies on
 * instances in two other availability zones. Such records reach the journal later: from their writer, or
 * if the slice has a new owner by then, from the copies that the new owner collects.
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
import { storeUnavailable } from "./call_errors.ts";

/** How long a record waits for the journal before copies are made. */
const JOURNAL_TIMEOUT_MS = 1500;
const COPY_TIMEOUT_MS = 500;
/** Number of instances outside the writer's zone that must hold a copy. */
const REQUIRED_COPIES = 2;

/** How a record was made durable. */
export enum Durability {
  Journal = "journal",
  Copies = "copies",
  /** Rejected by a rule of the record's kind, or because the slice has another owner. */
  Rejected = "rejected",
}

export interface IDurableWriterOptions {
  readonly state: JournalState;
  readonly journal: IJournal;
  readonly membership: Membership;
  readonly peers: PeerClients;
  /** Scope of the background work that continues after a record was written. */
  readonly scope: Scope.Scope;
}

export class DurableWriter {
  readonly #opts: IDurableWriterOptions;
  #lastCopyId = 0;

  constructor(opts: IDurableWriterOptions) {
    this.#opts = opts;
  }

  /** Makes a record that this instance writes as the owner of a slice. */
  makeRecord(slice: number, body: Record["body"]): Record {
    const epoch = this.#opts.state.views.current?.epochOf(slice) ?? 0;
    return create(RecordSchema, { slice, epoch, body });
  }

  /** Writes a record to the journal or, if that is unavailable, to copies. */
  write(record: Record): Effect.Effect<Durability, CallError> {
    return Effect.gen({ self: this }, function* () {
      const pending = this.#opts.journal.append(record);
      const receipt = yield* this.#awaitJournal(pending);
      if (Option.isSome(receipt)) return receipt.value.accepted ? Durability.Journal : Durability.Rejected;
      const isReplicated = yield* this.#replicate(record);
      if (isReplicated) {
        yield* this.#dropCopyWhenJournaled(pending);
        return this.#opts.state.applyLocally(record) ? Durability.Copies : Durability.Rejected;
      }
      // The record may have been sent already, and still succeed if the outage ends now.
      if (!pending.cancel()) {
        const late = yield* Effect.timeoutOption(pending.receipt, JOURNAL_TIMEOUT_MS);
        if (Option.isSome(late)) return late.value.accepted ? Durability.Journal : Durability.Rejected;
      }
      return yield* Effect.fail(storeUnavailable(Ran.UNKNOWN));
    });
  }

  /**
   * Writes a record to the journal only. Fails with "not run" if the log service is unavailable. If the
   * record is accepted later nevertheless, `undo` is appended after it.
   */
  writeToJournal(record: Record, undo: Record): Effect.Effect<boolean, CallError> {
    return Effect.gen({ self: this }, function* () {
      const pending = this.#opts.journal.append(record);
      const receipt = yield* this.#awaitJournal(pending);
      if (Option.isSome(receipt)) return receipt.value.accepted;
      if (!pending.cancel()) yield* this.#undoWhenJournaled(pending, undo);
      return yield* Effect.fail(storeUnavailable(Ran.NOT_RUN));
    });
  }

  /** Appends a record without waiting for the result. */
  enqueue(record: Record): void {
    this.#opts.journal.append(record);
  }

  #undoWhenJournaled(pending: IPendingRecord, undo: Record): Effect.Effect<void> {
    const wait = Effect.map(pending.receipt, ({ accepted }) => {
      if (accepted) this.enqueue(undo);
    });
    return Effect.asVoid(Effect.forkIn(wait, this.#opts.scope));
  }

  #awaitJournal(pending: IPendingRecord): Effect.Effect<Option.Option<IAppendReceipt>> {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      const unavailableSinceMs = this.#opts.journal.unavailableSinceMs;
      const timeoutMs = unavailableSinceMs === undefined
        ? JOURNAL_TIMEOUT_MS
        : Math.max(0, unavailableSinceMs + JOURNAL_TIMEOUT_MS - now);
      const first = yield* Effect.timeoutOption(pending.receipt, timeoutMs);
      if (Option.isSome(first) || this.#opts.journal.unavailableSinceMs !== undefined) return first;
      // The log service still confirms reads, so it is slow rather than unavailable. Waits once more.
      return yield* Effect.timeoutOption(pending.receipt, JOURNAL_TIMEOUT_MS);
    });
  }

  /** Sends copies to instances in other zones. Returns whether enough of them accepted one. */
  #replicate(record: Record): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const { self } = this.#opts.membership;
      this.#lastCopyId += 1;
      const copy = create(HeldCopySchema, {
        owner: self.instanceId,
        incarnation: self.incarnation,
        copyId: this.#lastCopyId,
        record,
      });
      const holders = this.#selectHolders();
      if (holders.length < REQUIRED_COPIES) return false;
      const requests = holders.map((holder) =>
        this.#opts.peers.call(holder.peerAddress, {
          timeoutMs: COPY_TIMEOUT_MS,
          invoke: (client, signal) => client.holdCopies({ copies: [copy] }, { signal }),
        }).pipe(Effect.map((res) => res.held), Effect.catch(() => Effect.succeed(false)))
      );
      const accepted = yield* Effect.all(requests, { concurrency: "unbounded" });
      return accepted.filter((isHeld) => isHeld).length >= REQUIRED_COPIES;
    });
  }

  /** The member of each other zone with the most recent heartbeat, up to one more than required. */
  #selectHolders(): Member[] {
    const { self } = this.#opts.membership;
    const members = this.#opts.state.views.current?.members ?? [];
    const memberByZone = new Map<string, Member>();
    for (const member of members) {
      const status = this.#opts.membership.getPeer(member.peerAddress);
      if (member.zone === self.zone || status === undefined) continue;
      const latest = memberByZone.get(member.zone);
      const latestHeartbeatAt = latest === undefined
        ? 0
        : this.#opts.membership.getPeer(latest.peerAddress)?.lastHeartbeatAtMs ?? 0;
      if (status.lastHeartbeatAtMs > latestHeartbeatAt) memberByZone.set(member.zone, member);
    }
    return [...memberByZone.values()].slice(0, REQUIRED_COPIES + 1);
  }

  /** Requests all members to delete the copies of a record once it is in the journal. */
  #dropCopyWhenJournaled(pending: IPendingRecord): Effect.Effect<void> {
    const { self } = this.#opts.membership;
    const copyIds = [this.#lastCopyId];
    const drop = Effect.gen({ self: this }, function* () {
      const { accepted } = yield* pending.receipt;
      // If the record is rejected, the slice has a new owner, which still collects the copies.
      if (!accepted) return;
      const members = this.#opts.state.views.current?.members ?? [];
      const req = { owner: self.instanceId, incarnation: self.incarnation, copyIds };
      for (const member of members) {
        if (member.instanceId === self.instanceId) continue;
        yield* Effect.ignore(this.#opts.peers.call(member.peerAddress, {
          timeoutMs: COPY_TIMEOUT_MS,
          invoke: (client, signal) => client.dropCopies(req, { signal }),
        }));
      }
    });
    return Effect.asVoid(Effect.forkIn(drop, this.#opts.scope));
  }
}
