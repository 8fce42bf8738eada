// Generated from schema/ by scripts/generate_schemas.ts.

/**
 * Settings of one instance of the gateway for opaque requests.
 */
export interface GatewaySettings {
  /**
   * Schema of this file, for editors.
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
   * Address on which callers are served, as HOST:PORT.
   */
  callerAddress: string;
  /**
   * Address of the balancer's readiness probe, as HOST:PORT.
   */
  probeAddress: string;
  /**
   * Address for the other instances, as HOST:PORT; names the instance in the group that assigns slices.
   */
  peerAddress: string;
  /**
   * Port of load reports between instances, the same on all of them.
   */
  datagramPort: number;
  /**
   * Port of the metrics.
   */
  metricsPort: number;
  /**
   * Address of the platform's store, as HOST:PORT.
   */
  storeAddress: string;
  /**
   * Partitions of a topic in the store.
   */
  storeParts: number;
  /**
   * Topics of the store that hold slices. Their number times storeParts is the number of slices; it must be the same on all instances.
   */
  sliceTopics: number;
  /**
   * Peer addresses that are asked while the store does not answer at the start.
   */
  seeds: string[];
  /**
   * Time after the signal to stop at which the process is killed, in seconds.
   */
  stopGraceS: number;
  /**
   * Lowest level of the lines in the log.
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
      "description": "Schema of this file, for editors."
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
      "description": "Address on which callers are served, as HOST:PORT."
    },
    "probeAddress": {
      "type": "string",
      "pattern": "^[^:]+:\\d+$",
      "description": "Address of the balancer's readiness probe, as HOST:PORT."
    },
    "peerAddress": {
      "type": "string",
      "pattern": "^[^:]+:\\d+$",
      "description": "Address for the other instances, as HOST:PORT; names the instance in the group that assigns slices."
    },
    "datagramPort": {
      "type": "integer",
      "minimum": 1,
      "maximum": 65535,
      "description": "Port of load reports between instances, the same on all of them."
    },
    "metricsPort": {
      "type": "integer",
      "minimum": 1,
      "maximum": 65535,
      "description": "Port of the metrics."
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
      "description": "Partitions of a topic in the store."
    },
    "sliceTopics": {
      "type": "integer",
      "minimum": 1,
      "maximum": 90,
      "default": 4,
      "description": "Topics of the store that hold slices. Their number times storeParts is the number of slices; it must be the same on all instances."
    },
    "seeds": {
      "type": "array",
      "items": {
        "type": "string"
      },
      "default": [],
      "description": "Peer addresses that are asked while the store does not answer at the start."
    },
    "stopGraceS": {
      "type": "number",
      "minimum": 0,
      "default": 8,
      "description": "Time after the signal to stop at which the process is killed, in seconds."
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
      "description": "Lowest level of the lines in the log."
    }
  }
};
