/** Views: who the members of a region are and which of them owns which slice of the programs. */
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
import { rendezvous } from "../../base/common/hash.ts";
import { SLICE_COUNT } from "../../base/common/ids.ts";
import type { IJournalWriter } from "../../services/journal/common/journal.ts";

/** Owner of a slice when no member is active. */
const NO_OWNER = 0xffffffff;

/** Whether two member records mean the same run of the same instance. */
export function isSameRun(a: Member | undefined, b: Member | undefined): boolean {
  return a !== undefined && b !== undefined && a.instanceId === b.instanceId &&
    a.incarnation === b.incarnation;
}

/** One view, immutable. */
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

  /** Number of the view in which the present owner got the slice. */
  epochOf(slice: number): number {
    return this.#slices[slice].epoch;
  }

  /** The member that is this run of this instance. */
  find(instance: IJournalWriter): Member | undefined {
    return this.members.find((member) =>
      member.instanceId === instance.instanceId && member.incarnation === instance.incarnation
    );
  }

  /** Slices that a run of an instance owns. */
  slicesOf(instance: IJournalWriter): number[] {
    const owner = this.find(instance);
    if (owner === undefined) return [];
    return this.#slices.flatMap((_, slice) => this.ownerOf(slice) === owner ? [slice] : []);
  }

  /** The member that acts for a backend server, so that one alone does. */
  actorFor(backendId: string): Member | undefined {
    return this.members[rendezvous(backendId, this.members.map(({ instanceId }) => instanceId))];
  }

  /** Record that repeats this view for readers that start later. */
  toCheckpoint(): ViewRecord {
    return create(ViewRecordSchema, {
      number: this.number,
      members: [...this.members],
      slices: [...this.#slices],
      checkpoint: true,
    });
  }
}

/** The record of the view that follows `previous` with the given members. */
export function makeNextView(previous: View | undefined, members: readonly Member[]): ViewRecord {
  const number = (previous?.number ?? 0) + 1;
  // Copies: a member's own record changes when it drains, a view never does.
  const copies = members.map((member) => clone(MemberSchema, member));
  const sorted = copies.sort((a, b) => a.instanceId < b.instanceId ? -1 : 1);
  const active = sorted.filter((member) => member.state === MemberState.ACTIVE);
  const ids = active.map((member) => member.instanceId);
  const slices = Array.from({ length: SLICE_COUNT }, (_, slice) => {
    const owner = active[rendezvous(String(slice), ids)] as Member | undefined;
    const memberIndex = owner === undefined ? NO_OWNER : sorted.indexOf(owner);
    const kept = isSameRun(previous?.ownerOf(slice), owner);
    return create(SliceOwnerSchema, { memberIndex, epoch: kept ? previous!.epochOf(slice) : number });
  });
  return create(ViewRecordSchema, { number, members: sorted, slices });
}

export interface IViewChange {
  readonly previous: View | undefined;
  readonly current: View;
}

/** The view in force at the point of the journal that this instance has read to. */
export class ViewTable {
  readonly #onDidChangeView = new Emitter<IViewChange>();
  readonly onDidChangeView: Event<IViewChange> = this.#onDidChangeView.event;
  #current: View | undefined;

  get current(): View | undefined {
    return this.#current;
  }

  /** Applies a view record; only the first one after the present view counts. */
  apply(record: ViewRecord): boolean {
    const previous = this.#current;
    const follows = record.number === (previous?.number ?? 0) + 1 && !record.checkpoint;
    const starts = previous === undefined && record.checkpoint;
    if (!follows && !starts) return false;
    this.#current = new View(record);
    this.#onDidChangeView.fire({ previous, current: this.#current });
    return true;
  }

  /** Whether the writer of a record owns the record's slice with the record's epoch. */
  admits(record: Record, writer: IJournalWriter): boolean {
    const view = this.#current;
    if (view === undefined || record.slice >= SLICE_COUNT) return false;
    const owner = view.ownerOf(record.slice);
    const isOwner = owner?.instanceId === writer.instanceId && owner.incarnation === writer.incarnation;
    return isOwner && view.epochOf(record.slice) === record.epoch;
  }
}
