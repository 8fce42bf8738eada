// Generated from schema/ by scripts/generate_schemas.ts.

/**
 * Settings of one instance of the gateway for opaque requests.
 */
export interface GatewaySettings {
  /**
   * JSON schema of this file, used by editors.
   */
  $schema?: string;
  /**
   * Name of this instance.
   */
  instance: string;
  /**
   * Availability zone of this instance.
   */
  zone: string;
  /**
   * Listen address for callers, as HOST:PORT.
   */
  callerAddress: string;
  /**
   * Listen address for the load balancer's readiness probe, as HOST:PORT.
   */
  probeAddress: string;
  /**
   * Listen address for the other instances, as HOST:PORT; identifies the instance in the group that assigns slices.
   */
  peerAddress: string;
  /**
   * UDP port of load reports between instances; the same on all instances.
   */
  datagramPort: number;
  /**
   * Port of the metrics endpoint.
   */
  metricsPort: number;
  /**
   * Address of the platform's store, as HOST:PORT.
   */
  storeAddress: string;
  /**
   * Number of partitions of a topic in the store.
   */
  storeParts: number;
  /**
   * Number of store topics that hold slices. The number of slices is sliceTopics times storeParts and must be the same on all instances.
   */
  sliceTopics: number;
  /**
   * Peer addresses to request a snapshot from while the store is unreachable at startup.
   */
  seeds: string[];
  /**
   * Time between the termination signal and the kill by the platform, in seconds.
   */
  stopGraceS: number;
  /**
   * Interval at which backend servers renew their entries in the platform's list, in ms.
   */
  backendHeartbeatMs: number;
  /**
   * Maximum size of the body of a backend server's response, in bytes. The connection of a larger one is closed.
   */
  maxResponseBytes: number;
  /**
   * Maximum size of one event of a backend server's stream, in bytes.
   */
  maxEventBytes: number;
  /**
   * Memory for all responses that are being received, in bytes, beyond the first 16384 of each.
   */
  responseMemoryBytes: number;
  /**
   * Memory of the machine for this process, in MB. Half of what exceeds 110 MB, but between 8 and 64 MB, is for clients: bodies that are being received or relayed, requests sent ahead and answers that are not read.
   */
  memoryMb: number;
  /**
   * Maximum number of file descriptors of this process. Of those beyond 200, 19 in 100 are for connections of callers and as many for connections of peers, with at most 6 of each kind per MB of memory.
   */
  maxDescriptors: number;
  /**
   * Hedged requests: a second send of a repeatable request to another server when the first one is slow.
   */
  hedging: {
    /**
     * Maximum number of hedged requests as a share of the sends of requests that may be hedged; 0 switches hedging off.
     */
    maxExtraSends: number;
    /**
     * Quantile of the recent latency of the same route after which a hedged request is sent.
     */
    quantile: number;
    /**
     * Minimum delay of a hedged request, in ms.
     */
    minDelayMs: number;
    /**
     * Running requests per slot of the service's servers above which no hedged request is sent.
     */
    maxUtilization: number;
    /**
     * Hosts and path prefixes of the requests that may be hedged, as HOST/PREFIX; empty for all.
     */
    routes: string[];
  };
  /**
   * Number of requests by which the requests of an organisation in any 5 s may exceed its allotment, over all instances together. Half of it is added to the burst of each allotment; the rest covers changes of the deciding instance.
   */
  allotmentSlackRequests: number;
  /**
   * Minimum severity of log lines.
   */
  logLevel: "debug" | "info" | "warn" | "error";
}

/** JSON Schema of the settings above. */
export const GATEWAY_SCHEMA = {
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "GatewaySettings",
  "description": "Settings of one instance of the gateway for opaque requests.",
  "type": "object",
  "additionalProperties": false,
  "required": [
    "instance",
    "zone",
    "callerAddress",
    "probeAddress",
    "peerAddress",
    "datagramPort",
    "metricsPort",
    "storeAddress"
  ],
  "properties": {
    "$schema": {
      "type": "string",
      "description": "JSON schema of this file, used by editors."
    },
    "instance": {
      "type": "string",
      "pattern": ".",
      "description": "Name of this instance."
    },
    "zone": {
      "type": "string",
      "description": "Availability zone of this instance."
    },
    "callerAddress": {
      "type": "string",
      "pattern": "^[^:]+:\\d+$",
      "description": "Listen address for callers, as HOST:PORT."
    },
    "probeAddress": {
      "type": "string",
      "pattern": "^[^:]+:\\d+$",
      "description": "Listen address for the load balancer's readiness probe, as HOST:PORT."
    },
    "peerAddress": {
      "type": "string",
      "pattern": "^[^:]+:\\d+$",
      "description": "Listen address for the other instances, as HOST:PORT; identifies the instance in the group that assigns slices."
    },
    "datagramPort": {
      "type": "integer",
      "minimum": 1,
      "maximum": 65535,
      "description": "UDP port of load reports between instances; the same on all instances."
    },
    "metricsPort": {
      "type": "integer",
      "minimum": 1,
      "maximum": 65535,
      "description": "Port of the metrics endpoint."
    },
    "storeAddress": {
      "type": "string",
      "pattern": "^[^:]+:\\d+$",
      "description": "Address of the platform's store, as HOST:PORT."
    },
    "storeParts": {
      "type": "integer",
      "minimum": 1,
      "default": 8,
      "description": "Number of partitions of a topic in the store."
    },
    "sliceTopics": {
      "type": "integer",
      "minimum": 1,
      "maximum": 90,
      "default": 4,
      "description": "Number of store topics that hold slices. The number of slices is sliceTopics times storeParts and must be the same on all instances."
    },
    "seeds": {
      "type": "array",
      "items": {
        "type": "string"
      },
      "default": [],
      "description": "Peer addresses to request a snapshot from while the store is unreachable at startup."
    },
    "stopGraceS": {
      "type": "number",
      "minimum": 0,
      "default": 8,
      "description": "Time between the termination signal and the kill by the platform, in seconds."
    },
    "backendHeartbeatMs": {
      "type": "integer",
      "minimum": 1,
      "default": 1200,
      "description": "Interval at which backend servers renew their entries in the platform's list, in ms."
    },
    "maxResponseBytes": {
      "type": "integer",
      "minimum": 1024,
      "default": 1048576,
      "description": "Maximum size of the body of a backend server's response, in bytes. The connection of a larger one is closed."
    },
    "maxEventBytes": {
      "type": "integer",
      "minimum": 1024,
      "default": 65536,
      "description": "Maximum size of one event of a backend server's stream, in bytes."
    },
    "responseMemoryBytes": {
      "type": "integer",
      "minimum": 0,
      "default": 8388608,
      "description": "Memory for all responses that are being received, in bytes, beyond the first 16384 of each."
    },
    "memoryMb": {
      "type": "number",
      "exclusiveMinimum": 0,
      "default": 178,
      "description": "Memory of the machine for this process, in MB. Half of what exceeds 110 MB, but between 8 and 64 MB, is for clients: bodies that are being received or relayed, requests sent ahead and answers that are not read."
    },
    "maxDescriptors": {
      "type": "integer",
      "minimum": 1,
      "default": 4096,
      "description": "Maximum number of file descriptors of this process. Of those beyond 200, 19 in 100 are for connections of callers and as many for connections of peers, with at most 6 of each kind per MB of memory."
    },
    "hedging": {
      "type": "object",
      "additionalProperties": false,
      "default": {},
      "description": "Hedged requests: a second send of a repeatable request to another server when the first one is slow.",
      "properties": {
        "maxExtraSends": {
          "type": "number",
          "minimum": 0,
          "maximum": 0.2,
          "default": 0,
          "description": "Maximum number of hedged requests as a share of the sends of requests that may be hedged; 0 switches hedging off."
        },
        "quantile": {
          "type": "number",
          "minimum": 0.5,
          "maximum": 0.999,
          "default": 0.95,
          "description": "Quantile of the recent latency of the same route after which a hedged request is sent."
        },
        "minDelayMs": {
          "type": "integer",
          "minimum": 1,
          "maximum": 60000,
          "default": 20,
          "description": "Minimum delay of a hedged request, in ms."
        },
        "maxUtilization": {
          "type": "number",
          "minimum": 0,
          "maximum": 1,
          "default": 0.6,
          "description": "Running requests per slot of the service's servers above which no hedged request is sent."
        },
        "routes": {
          "type": "array",
          "items": {
            "type": "string",
            "pattern": "^[^/]+/"
          },
          "default": [],
          "description": "Hosts and path prefixes of the requests that may be hedged, as HOST/PREFIX; empty for all."
        }
      }
    },
    "allotmentSlackRequests": {
      "type": "number",
      "minimum": 0,
      "maximum": 1000000,
      "default": 0,
      "description": "Number of requests by which the requests of an organisation in any 5 s may exceed its allotment, over all instances together. Half of it is added to the burst of each allotment; the rest covers changes of the deciding instance."
    },
    "logLevel": {
      "type": "string",
      "enum": [
        "debug",
        "info",
        "warn",
        "error"
      ],
      "default": "info",
      "description": "Minimum severity of log lines."
    }
  }
};
