/** Restores newly assigned slices: records copied during an outage, and the budgets of a failed owner. */
import { Effect } from "effect";
import type { BusyProgram, HeldCopy } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import type { Member } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { ISliceRecovery } from "../../membership/common/slice_handover.ts";
import { HandoverKind } from "../../membership/common/slice_handover.ts";
import type { PeerClients } from "../../membership/common/peer_client.ts";
import type { IJournal } from "../../services/journal/common/journal.ts";
import type { BusyPrograms } from "./busy_programs.ts";
import type { DurableWriter } from "./durable_writer.ts";
import type { HeldCopies } from "./held_copies.ts";
import type { JournalState } from "./journal_state.ts";

const COPY_TIMEOUT_MS = 1000;

export interface ISliceRecoveryOptions {
  readonly self: Member;
  readonly state: JournalState;
  readonly journal: IJournal;
  readonly writer: DurableWriter;
  readonly copies: HeldCopies;
  readonly busy: BusyPrograms;
  readonly peers: PeerClients;
}

export class SliceRecovery implements ISliceRecovery {
  readonly #opts: ISliceRecoveryOptions;

  constructor(opts: ISliceRecoveryOptions) {
    this.#opts = opts;
  }

  registerRunningCalls(owner: Member, busy: readonly BusyProgram[]): void {
    this.#opts.busy.register(owner, busy);
  }

  recover(slices: readonly number[], kind: HandoverKind): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#appendCopies(slices);
      if (kind === HandoverKind.Unclean) this.#burnUnsettled(slices);
    });
  }

  /**
   * Appends the records of which members hold copies. Records that the journal already contains are rejected
   * when they are applied.
   */
  #appendCopies(slices: readonly number[]): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const copies = yield* this.#collect(slices);
      const receipts = copies.flatMap(({ record }) =>
        record === undefined
          ? []
          : [this.#opts.journal.append(this.#opts.writer.makeRecord(record.slice, record.body)).receipt]
      );
      yield* Effect.all(receipts, { concurrency: "unbounded", discard: true });
      yield* this.#drop(copies);
    });
  }

  #collect(slices: readonly number[]): Effect.Effect<HeldCopy[]> {
    return Effect.gen({ self: this }, function* () {
      const requests = this.#otherMembers().map((member) =>
        this.#opts.peers.call(member.peerAddress, {
          timeoutMs: COPY_TIMEOUT_MS,
          invoke: (client, signal) => client.collectCopies({ slices: [...slices] }, { signal }),
        }).pipe(Effect.map((res) => res.copies), Effect.catch(() => Effect.succeed<HeldCopy[]>([])))
      );
      const responses = yield* Effect.all(requests, { concurrency: "unbounded" });
      const all = [...this.#opts.copies.collect(slices), ...responses.flat()];
      return deduplicate(all);
    });
  }

  #drop(copies: readonly HeldCopy[]): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (const group of groupByOwner(copies)) {
        const { owner, incarnation } = group[0];
        const req = { owner, incarnation, copyIds: group.map(({ copyId }) => copyId) };
        this.#opts.copies.drop(req, req.copyIds);
        for (const member of this.#otherMembers()) {
          yield* Effect.ignore(this.#opts.peers.call(member.peerAddress, {
            timeoutMs: COPY_TIMEOUT_MS,
            invoke: (client, signal) => client.dropCopies(req, { signal }),
          }));
        }
      }
    });
  }

  #otherMembers(): Member[] {
    const members = this.#opts.state.views.current?.members ?? [];
    return members.filter((member) => member.instanceId !== this.#opts.self.instanceId);
  }

  #burnUnsettled(slices: readonly number[]): void {
    const acquired = new Set(slices);
    for (const program of this.#opts.state.programs.all) {
      if (acquired.has(program.slice) && !program.hasEnded) program.ledger.burnUnsettled();
    }
  }
}

/** Removes duplicate copies, and sorts each owner's copies in the order in which they were written. */
function deduplicate(copies: readonly HeldCopy[]): HeldCopy[] {
  const byId = new Map(copies.map((copy) => [`${copy.owner}/${copy.incarnation}/${copy.copyId}`, copy]));
  return [...byId.values()].sort((a, b) => a.copyId - b.copyId);
}

function groupByOwner(copies: readonly HeldCopy[]): HeldCopy[][] {
  const groups = new Map<string, HeldCopy[]>();
  for (const copy of copies) {
    const key = `${copy.owner}/${copy.incarnation}`;
    groups.set(key, [...groups.get(key) ?? [], copy]);
  }
  return [...groups.values()];
}
