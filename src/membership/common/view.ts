/** Views: the members of a region and the assignment of program slices to them. */
import { clone, create } from "@bufbuild/protobuf";
import type {
  Member,
  Record,
  SliceOwner,
  ViewRecord,
} from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import {
  MemberSchema,
  MemberState,
  SliceOwnerSchema,
  ViewRecordSchema,
} from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { Event } from "../../base/common/emitter.ts";
import { Emitter } from "../../base/common/emitter.ts";
import { rendezvousIndex } from "../../base/common/hash.ts";
import { SLICE_COUNT } from "../../base/common/ids.ts";
import type { IJournalWriter } from "../../services/journal/common/journal.ts";

/** Member index of a slice's owner when no member is active. */
const NO_OWNER = 0xffffffff;

/** Whether two member records denote the same incarnation of the same instance. */
export function isSameIncarnation(a: Member | undefined, b: Member | undefined): boolean {
  return a !== undefined && b !== undefined && a.instanceId === b.instanceId &&
    a.incarnation === b.incarnation;
}

/** An immutable view. */
export class View {
  readonly number: number;
  readonly members: readonly Member[];
  readonly #slices: readonly SliceOwner[];

  constructor(record: ViewRecord) {
    this.number = record.number;
    this.members = record.members;
    this.#slices = record.slices;
  }

  /** Owner of a slice, or undefined when no member is active. */
  ownerOf(slice: number): Member | undefined {
    return this.members[this.#slices[slice].memberIndex];
  }

  /** Number of the view that assigned the slice to its current owner. */
  epochOf(slice: number): number {
    return this.#slices[slice].epoch;
  }

  /** Member with the given instance id and incarnation. */
  find(instance: IJournalWriter): Member | undefined {
    return this.members.find((member) =>
      member.instanceId === instance.instanceId && member.incarnation === instance.incarnation
    );
  }

  /** Slices that an incarnation of an instance owns. */
  slicesOf(instance: IJournalWriter): number[] {
    const owner = this.find(instance);
    if (owner === undefined) return [];
    return this.#slices.flatMap((_, slice) => this.ownerOf(slice) === owner ? [slice] : []);
  }

  /** The single member that coordinates access to a backend server, the same for all readers of the view. */
  coordinatorFor(backendId: string): Member | undefined {
    return this.members[rendezvousIndex(backendId, this.members.map(({ instanceId }) => instanceId))];
  }

  /** Record that repeats this view, for readers that start after the original record. */
  toCheckpoint(): ViewRecord {
    return create(ViewRecordSchema, {
      number: this.number,
      members: [...this.members],
      slices: [...this.#slices],
      checkpoint: true,
    });
  }
}

/**
 * Makes the record of the view that follows `previous`. Slices are assigned to the active members by
 * rendezvous hashing; a slice that stays with its owner keeps its epoch.
 */
export function makeNextView(previous: View | undefined, members: readonly Member[]): ViewRecord {
  const number = (previous?.number ?? 0) + 1;
  // An instance modifies its own member record when it starts draining; the view must not change with it.
  const copies = members.map((member) => clone(MemberSchema, member));
  const sorted = copies.sort((a, b) => a.instanceId < b.instanceId ? -1 : 1);
  const active = sorted.filter((member) => member.state === MemberState.ACTIVE);
  const ids = active.map((member) => member.instanceId);
  const slices = Array.from({ length: SLICE_COUNT }, (_, slice) => {
    const owner = active[rendezvousIndex(String(slice), ids)] as Member | undefined;
    const memberIndex = owner === undefined ? NO_OWNER : sorted.indexOf(owner);
    const isKept = isSameIncarnation(previous?.ownerOf(slice), owner);
    return create(SliceOwnerSchema, { memberIndex, epoch: isKept ? previous!.epochOf(slice) : number });
  });
  return create(ViewRecordSchema, { number, members: sorted, slices });
}

export interface IViewChange {
  readonly previous: View | undefined;
  readonly current: View;
}

/** Holds the current view as of the journal position that this instance has read to. */
export class ViewTracker {
  readonly #onDidChangeView = new Emitter<IViewChange>();
  readonly onDidChangeView: Event<IViewChange> = this.#onDidChangeView.event;
  #current: View | undefined;

  get current(): View | undefined {
    return this.#current;
  }

  /**
   * Applies a view record. It takes effect only as the first record with the number after the current view's,
   * or as a checkpoint while there is no view yet.
   */
  apply(record: ViewRecord): boolean {
    const previous = this.#current;
    const isNext = record.number === (previous?.number ?? 0) + 1 && !record.checkpoint;
    const isFirst = previous === undefined && record.checkpoint;
    if (!isNext && !isFirst) return false;
    this.#current = new View(record);
    this.#onDidChangeView.fire({ previous, current: this.#current });
    return true;
  }

  /** Whether the writer of a record owns the record's slice, and since the record's epoch. */
  isWriterOwner(record: Record, writer: IJournalWriter): boolean {
    const view = this.#current;
    if (view === undefined || record.slice >= SLICE_COUNT) return false;
    const owner = view.ownerOf(record.slice);
    const isOwner = owner?.instanceId === writer.instanceId && owner.incarnation === writer.incarnation;
    return isOwner && view.epochOf(record.slice) === record.epoch;
  }
}
