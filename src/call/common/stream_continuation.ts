/** Keeps all parts of a stream, and all tries of its request, at servers of one software version. */
import { Clock, Effect } from "effect";
import type { IBackendChoice } from "../../routing/common/backend_chooser.ts";
import type { IOrganisation } from "../../services/organisations/common/organisation.ts";
import { scopedId } from "../../services/organisations/common/organisation_scope.ts";
import type { IRoute } from "../../services/routes/common/route_table.ts";
import { RouteKind } from "../../services/routes/common/route_table.ts";
import type { IOpaqueRequest } from "./opaque_request.ts";
import type { RelayedCall } from "./relayed_call.ts";
import type { RequestIdentity } from "./request_identity.ts";
import type { IStreamOrigin } from "./stream_origin.ts";
import { contentKeyOf } from "./stream_origin.ts";
import type { IStreamOriginFinder } from "./stream_origin_finder.ts";
import type { IStreamOriginAnnouncer } from "./stream_origin_replicator.ts";

/** Share of the time left that the record of a stream's origin may take, so that the caller has time for another try. */
const ANNOUNCE_SHARE = 0.5;

/** What identifies the stream that a request begins or resumes, beside the request itself. */
export interface IStreamContext {
  readonly identity: RequestIdentity;
  readonly route: IRoute;
  readonly organisation: IOrganisation | undefined;
}

export interface IStreamContinuationOptions {
  readonly streamFinder: IStreamOriginFinder;
  readonly streamAnnouncer: IStreamOriginAnnouncer;
}

export class StreamContinuation {
  readonly #opts: IStreamContinuationOptions;

  constructor(opts: IStreamContinuationOptions) {
    this.#opts = opts;
  }

  /** Returns the origin of a stream that a caller resumes; undefined if it may not go on here. */
  findOrigin(
    req: IOpaqueRequest,
    { identity, route, organisation }: IStreamContext,
  ): Effect.Effect<IStreamOrigin | undefined> {
    const { resumes, program } = req;
    const name = organisation?.name;
    const attemptId = resumes === undefined ? undefined : scopedId(resumes, name);
    const contentKey = contentKeyOf(identity, { program, organisation: name });
    const origin = this.#opts.streamFinder.find({ attemptId, contentKey });
    return Effect.map(origin, (found) => leadsTo(route, found) ? found : undefined);
  }

  /** Returns the origin of earlier tries of a stream that its caller begins anew; undefined if none may be continued. */
  findEarlierOrigin(
    { program }: IOpaqueRequest,
    { identity, route, organisation }: IStreamContext,
  ): IStreamOrigin | undefined {
    if (route.kind !== RouteKind.Stream || !route.isResumable) return undefined;
    const contentKey = contentKeyOf(identity, { program, organisation: organisation?.name });
    const origin = this.#opts.streamFinder.findEarlier(contentKey);
    return leadsTo(route, origin) ? origin : undefined;
  }

  /**
   * Records the origin of a stream before it begins at another software version than its earlier tries: if only they
   * were known after a loss of instances, the stream would go on at their version. Returns whether the stream may begin.
   */
  announceVersionChange(call: RelayedCall, { backend }: IBackendChoice): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const { earlierOrigin, deadlineAtMs } = call;
      const { service, softwareVersion } = backend;
      if (call.origin !== undefined || earlierOrigin === undefined) return true;
      if (earlierOrigin.softwareVersion === softwareVersion) return true;
      const origin = { service, softwareVersion };
      const announced = this.#opts.streamAnnouncer.announce(call.streamKey, origin);
      const timeoutMs = (deadlineAtMs - (yield* Clock.currentTimeMillis)) * ANNOUNCE_SHARE;
      const isRecorded = yield* Effect.timeoutOption(announced, timeoutMs);
      if (isRecorded._tag === "None" || !isRecorded.value) return false;
      call.origin = origin;
      return true;
    });
  }
}

function leadsTo({ services }: IRoute, origin: IStreamOrigin | undefined): boolean {
  return services.some(({ service }) => service === origin?.service);
}
