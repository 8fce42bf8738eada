/** Decides by their API keys whether requests may be sent to backend servers. */
import { digestPrefixOf } from "../../services/organisations/common/organisation_table.ts";
import type { IRoute, RouteTable } from "../../services/routes/common/route_table.ts";
import type { IRefusal } from "./gateway_refusal.ts";
import { finalRefusal, GatewayStatus, RefusalReason, retryableRefusal } from "./gateway_refusal.ts";
import type { IOpaqueRequest } from "./opaque_request.ts";
import type { RelayedCall } from "./relayed_call.ts";

/** Retry delay when the configuration may be stale or has just changed. */
const RETRY_AFTER_MS = 500;

export interface ICallAuthorizerOptions {
  readonly routes: RouteTable;
  /** Whether the configuration may be stale because the store does not respond. */
  readonly isConfigurationStale: () => boolean;
}

export class CallAuthorizer {
  readonly #opts: ICallAuthorizerOptions;

  constructor(opts: ICallAuthorizerOptions) {
    this.#opts = opts;
  }

  /**
   * Checks a request by the configuration in force. Returns undefined if it may be served. A request without a route
   * needs a key as well.
   */
  check({ apiKeyDigest }: IOpaqueRequest, route: IRoute | undefined): IRefusal | undefined {
    const { organisations } = this.#opts.routes;
    if (!organisations.isConfigured || route?.isPublic) return undefined;
    if (organisations.find(apiKeyDigest) !== undefined) return undefined;
    const reason = apiKeyDigest === undefined ? RefusalReason.KeyMissing : RefusalReason.KeyUnknown;
    // A newer configuration may contain the key, and a final refusal would end the caller's program.
    return this.#opts.isConfigurationStale()
      ? retryableRefusal(reason, RETRY_AFTER_MS)
      : finalRefusal(GatewayStatus.Unauthorized, reason);
  }

  /** Checks a request again that was admitted on arrival and may have waited since. */
  recheck({ req, route, organisation }: RelayedCall): IRefusal | undefined {
    const { routes } = this.#opts;
    const { organisations } = routes;
    if (!organisations.isConfigured) return undefined;
    const refusal = this.check(req, routes.find(req.host, req.target) ?? route);
    if (refusal !== undefined) return refusal;
    // The budget and the history that the request has obtained are those of the former organisation.
    return organisations.find(req.apiKeyDigest)?.name === organisation?.name
      ? undefined
      : retryableRefusal(RefusalReason.OrganisationChanged, RETRY_AFTER_MS);
  }

  /** Log fields that identify the organisation and the key of a request. */
  logFields({ apiKeyDigest }: IOpaqueRequest): object {
    const { organisations } = this.#opts.routes;
    if (!organisations.isConfigured || apiKeyDigest === undefined) return {};
    return {
      organisation: organisations.find(apiKeyDigest)?.name,
      keyDigest: digestPrefixOf(apiKeyDigest),
    };
  }
}
