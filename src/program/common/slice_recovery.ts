/** Brings a gained slice up to date: copies held during an outage, and budgets of a dead owner. */
import { Effect } from "effect";
import type { BusyProgram, HeldCopy } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import type { Member } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { ISliceReceiver } from "../../membership/common/hand_over.ts";
import { Inheritance } from "../../membership/common/hand_over.ts";
import type { PeerClients } from "../../membership/common/peer_client.ts";
import type { IJournal } from "../../services/journal/common/journal.ts";
import type { BusyPrograms } from "./busy_programs.ts";
import type { DurableWriter } from "./durable_writer.ts";
import type { HeldCopies } from "./held_copies.ts";
import type { JournalState } from "./journal_state.ts";

const COLLECT_TIMEOUT_MS = 1000;

export interface ISliceRecoveryOptions {
  readonly self: Member;
  readonly state: JournalState;
  readonly journal: IJournal;
  readonly writer: DurableWriter;
  readonly copies: HeldCopies;
  readonly busy: BusyPrograms;
  readonly peers: PeerClients;
}

export class SliceRecovery implements ISliceReceiver {
  readonly #opts: ISliceRecoveryOptions;

  constructor(opts: ISliceRecoveryOptions) {
    this.#opts = opts;
  }

  expect(from: Member, busy: readonly BusyProgram[]): void {
    this.#opts.busy.expect(from, busy);
  }

  recover(slices: readonly number[], inheritance: Inheritance): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      yield* this.#appendCopies(slices);
      if (inheritance === Inheritance.Unclean) this.#burn(slices);
    });
  }

  /** Re-appends what the members hold for the slices; records that the journal has already are rejected there. */
  #appendCopies(slices: readonly number[]): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const copies = yield* this.#collect(slices);
      const pending = copies.flatMap(({ record }) =>
        record === undefined
          ? []
          : [this.#opts.journal.append(this.#opts.writer.stamp(record.slice, record.body)).receipt]
      );
      yield* Effect.all(pending, { concurrency: "unbounded", discard: true });
      yield* this.#drop(copies);
    });
  }

  #collect(slices: readonly number[]): Effect.Effect<HeldCopy[]> {
    return Effect.gen({ self: this }, function* () {
      const asks = this.#others().map((member) =>
        this.#opts.peers.call(member.peerAddress, {
          timeoutMs: COLLECT_TIMEOUT_MS,
          invoke: (client, signal) => client.collectCopies({ slices: [...slices] }, { signal }),
        }).pipe(Effect.map((res) => res.copies), Effect.catch(() => Effect.succeed<HeldCopy[]>([])))
      );
      const answers = yield* Effect.all(asks, { concurrency: "unbounded" });
      const all = [...this.#opts.copies.collect(slices), ...answers.flat()];
      return distinct(all);
    });
  }

  #drop(copies: readonly HeldCopy[]): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      for (const group of groupByOwner(copies)) {
        const { owner, incarnation } = group[0];
        const req = { owner, incarnation, copyIds: group.map(({ copyId }) => copyId) };
        this.#opts.copies.drop(req, req.copyIds);
        for (const member of this.#others()) {
          yield* Effect.ignore(this.#opts.peers.call(member.peerAddress, {
            timeoutMs: COLLECT_TIMEOUT_MS,
            invoke: (client, signal) => client.dropCopies(req, { signal }),
          }));
        }
      }
    });
  }

  #others(): Member[] {
    const members = this.#opts.state.views.current?.members ?? [];
    return members.filter((member) => member.instanceId !== this.#opts.self.instanceId);
  }

  #burn(slices: readonly number[]): void {
    const gained = new Set(slices);
    for (const program of this.#opts.state.programs.all) {
      if (gained.has(program.slice) && !program.hasEnded) program.ledger.burnUnsettled();
    }
  }
}

/** Copies without repeats, each owner's in the order of writing. */
function distinct(copies: readonly HeldCopy[]): HeldCopy[] {
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
