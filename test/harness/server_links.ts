/** The connections of one instance to the backend servers, which can be cut while all else works. */
import { Deferred, Effect } from "effect";
import type {
  IResponseBody,
  IUpstream,
  IUpstreamRequest,
  IUpstreamResponse,
} from "../../src/call/common/opaque_request.ts";
import { UpstreamError, UpstreamFault } from "../../src/call/common/opaque_request.ts";
import type { IConnectProbe } from "../../src/call/common/server_link_monitor.ts";
import { PROBE_TIMEOUT_MS } from "../../src/call/common/server_link_monitor.ts";
import type { IBackendEntry } from "../../src/services/backends/common/backend_directory.ts";
import type { BackendFleet } from "../stand_ins/backend_fleet.ts";
import { makeResponseBody } from "../stand_ins/response_body.ts";

const CONNECT_TIMEOUT_MS = 500;

/** What happens to connections while the links are cut. */
export enum LinkCut {
  /** Open connections stay silent, new ones are not established. */
  Hang = "hang",
  /** Open connections are reset, idle ones when they are used next; new ones are refused. */
  Reset = "are reset",
  /** Open connections live on, new ones are refused. */
  Refuse = "live on, new ones are refused",
}

export class ServerLinks implements IUpstream, IConnectProbe {
  readonly #fleet: BackendFleet;
  /** Ids of the servers to which an idle connection is open. */
  readonly #open = new Set<string>();
  #cut: LinkCut | undefined;
  #cutBegan = Deferred.makeUnsafe<void>();

  constructor(fleet: BackendFleet) {
    this.#fleet = fleet;
  }

  get onDidAnnounceLeaving() {
    return this.#fleet.onDidAnnounceLeaving;
  }

  get onDidStateLimit() {
    return this.#fleet.onDidStateLimit;
  }

  cut(form: LinkCut): void {
    this.#cut = form;
    Deferred.doneUnsafe(this.#cutBegan, Effect.void);
  }

  heal(): void {
    this.#cut = undefined;
    this.#cutBegan = Deferred.makeUnsafe<void>();
  }

  closeIdle(): void {
    this.#open.clear();
  }

  connect(backend: IBackendEntry): Effect.Effect<boolean> {
    return Effect.suspend(() => {
      if (this.#cut === LinkCut.Hang) return Effect.as(Effect.sleep(PROBE_TIMEOUT_MS), false);
      if (this.#cut !== undefined) return Effect.succeed(false);
      return Effect.succeed(this.#fleet.isListening(backend));
    });
  }

  send(backend: IBackendEntry, req: IUpstreamRequest): Effect.Effect<IUpstreamResponse, UpstreamError> {
    return Effect.suspend(() => {
      const hasConnection = this.#open.delete(backend.id);
      if (this.#cut === LinkCut.Hang) {
        if (hasConnection) return Effect.never;
        req.delivery?.awaitConnection();
        const failure = Effect.fail(new UpstreamError(UpstreamFault.NotSent));
        return Effect.andThen(Effect.sleep(CONNECT_TIMEOUT_MS), failure);
      }
      if (this.#cut === LinkCut.Reset && hasConnection) {
        return Effect.fail(new UpstreamError(UpstreamFault.Broken));
      }
      if (this.#cut !== undefined && !hasConnection) {
        return Effect.fail(new UpstreamError(UpstreamFault.Refused));
      }
      const response = Effect.raceFirst(this.#fleet.send(backend, req), this.#awaitCut());
      return Effect.flatMap(
        response,
        ({ head, body }) =>
          this.#cut === LinkCut.Hang
            ? Effect.never
            : Effect.succeed({ head, body: this.#bodyOf(backend, body) }),
      );
    });
  }

  #bodyOf({ id }: IBackendEntry, body: IResponseBody): IResponseBody {
    const read = (onChunk: (chunk: Uint8Array) => void) => {
      const pass = (chunk: Uint8Array) => this.#cut === LinkCut.Hang ? undefined : onChunk(chunk);
      return Effect.flatMap(Effect.raceFirst(body.read(pass), this.#awaitCut()), () => {
        if (this.#cut === LinkCut.Hang) return Effect.never;
        this.#open.add(id);
        return Effect.void;
      });
    };
    return makeResponseBody(read, body.framing);
  }

  /** Fails or stays pending once the links are cut, unless open connections live on. */
  #awaitCut(): Effect.Effect<never, UpstreamError> {
    return Effect.andThen(
      Deferred.await(this.#cutBegan),
      Effect.suspend(() =>
        this.#cut === LinkCut.Reset ? Effect.fail(new UpstreamError(UpstreamFault.Broken)) : Effect.never
      ),
    );
  }
}
