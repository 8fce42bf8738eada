/** Placement orders under way. The journal decides which orders count, the same on every instance. */
import type { OrderFinished, OrderIssued } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { OrderAction } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";

/** Time after which an order that was not finished no longer stands in the way of others, in ms. */
export const ORDER_LIFETIME_MS = 60_000;

/** An order with its fencing token. */
export interface IIssuedOrder {
  readonly order: OrderIssued;
  readonly fencingToken: number;
}

export class OrderTable {
  readonly #underWay = new Map<string, IIssuedOrder>();

  /** The order that a backend server is carrying out. */
  underWay(backendId: string): IIssuedOrder | undefined {
    return this.#underWay.get(backendId);
  }

  /** Takes an order in, unless the backend server has one already or the weight store's share is used up. */
  issue(order: OrderIssued, fencingToken: number): boolean {
    const isStale = (issued: IIssuedOrder) => order.issuedAtMs - issued.order.issuedAtMs > ORDER_LIFETIME_MS;
    const before = this.#underWay.get(order.backendId);
    if (before !== undefined && !isStale(before)) return false;
    const loads = [...this.#underWay.values()].filter((issued) => isLoad(issued) && !isStale(issued));
    const isAboveShare = order.action === OrderAction.LOAD_MODEL && loads.length >= order.loadsAtOnce;
    if (isAboveShare) return false;
    this.#underWay.set(order.backendId, { order, fencingToken });
    return true;
  }

  /** Ends an order; an older one's end does not touch a newer order. */
  finish({ backendId, fencingToken }: OrderFinished): boolean {
    if (this.#underWay.get(backendId)?.fencingToken !== fencingToken) return false;
    return this.#underWay.delete(backendId);
  }
}

function isLoad({ order }: IIssuedOrder): boolean {
  return order.action === OrderAction.LOAD_MODEL;
}
