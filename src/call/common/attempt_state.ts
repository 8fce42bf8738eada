/** State of one attempt at a request on a backend server. */
import type { IBackendChoice } from "../../routing/common/backend_chooser.ts";
import { EventOrder } from "./event_order.ts";
import type { IRefusal } from "./gateway_refusal.ts";
import type { BodyFraming, UpstreamFault } from "./opaque_request.ts";
import type { IStreamOrigin } from "./stream_origin.ts";

/**
 * What a call knows of the attempt whose response it relays. It is carried on from one attempt to the next retry; of
 * two attempts that run at the same time, each has its own.
 */
export class AttemptState {
  choice: IBackendChoice | undefined;
  /** Why the request may no longer be sent; undefined if it may. */
  denial: IRefusal | undefined;
  /** How the last attempt failed; undefined if none has failed. */
  fault: UpstreamFault | undefined;
  /** Order of the events that the caller has received, in this request and in the one that it resumes. */
  readonly order: EventOrder;
  /** Status with which the stream to the caller began; undefined before that. */
  streamStatus: number | undefined;
  /** Number of events relayed to the caller. */
  events = 0;
  /** Output in the form that the prompts of later turns include, for routes that keep history. */
  readonly output: string[] = [];
  /** Software that produced the stream's first event; undefined before that event. */
  origin: IStreamOrigin | undefined;
  /** Status sent to the caller; 0 if none was sent. */
  status = 0;
  firstEventAtMs = 0;
  /** Time at which the caller received the last event, in ms of a clock that does not jump; undefined without one. */
  lastEventAtMs: number | undefined;
  /** Framing of the last response's body; undefined before its head. */
  framing: BodyFraming | undefined;
  /** Code of the error that ended the connection of the last response's body. */
  connectionError: string | undefined;
  /** Number of bytes after the last complete event of a stream that has ended. */
  unfinishedBytes = 0;

  /** `lastEventId` is the last event that the caller has received of the stream that it resumes. */
  constructor(lastEventId: string | undefined) {
    this.order = new EventOrder(lastEventId);
  }
}
