// Generated from schema/ by scripts/generate_schemas.ts.

/**
 * Settings of one instance, read from its settings file at startup.
 */
export interface DaemonSettings {
  /**
   * Name of this instance, unique in the region.
   */
  instanceId: string;
  /**
   * Region of this instance; prefix of the ids of programs opened here.
   */
  region: string;
  /**
   * Availability zone of this instance.
   */
  zone: string;
  callers: Listener;
  peers: Listener1;
  /**
   * Endpoints of the platform's services.
   */
  platform: {
    /**
     * Base URL of the log service.
     */
    logUrl: string;
    /**
     * Base URL of the instance list.
     */
    instanceListUrl: string;
  };
  /**
   * Files of API keys, with one 'name key' pair per line. Paths are relative to this settings file.
   */
  keys: {
    /**
     * File of the customers' keys.
     */
    customersFile: string;
    /**
     * File of the operators' keys.
     */
    operatorsFile: string;
  };
  /**
   * Timing of the protocol between instances. All instances of a region must use the same values.
   */
  timing: {
    /**
     * Interval between heartbeats to a peer, in ms.
     */
    heartbeatMs: number;
    /**
     * Time without an answer after which a peer is proposed for removal from the view, in ms.
     */
    failureTimeoutMs: number;
    /**
     * Lease duration in ms: an owner dispatches calls only this long after the view was last confirmed.
     */
    leaseMs: number;
    /**
     * Time without a record of the view's members after which an instance outside the view forms a new view, in ms.
     */
    viewSilenceMs: number;
    /**
     * Interval between checkpoints of the owned programs, in ms; at most a third of the log's retention.
     */
    checkpointMs: number;
    /**
     * Maximum appends per second to the log service by all instances together, shared equally among them.
     */
    appendsPerSecond: number;
  };
  /**
   * Memory of the machine for this process, in MB. Half of what exceeds 180 MB, but between 8 and 64 MB, is for clients: bodies that are being received, requests sent ahead and answers that are not read.
   */
  memoryMb: number;
  /**
   * Maximum number of file descriptors of this process. Of those beyond 200, 19 in 100 are for connections of callers and as many for connections of peers, with at most 6 of each kind per MB of memory.
   */
  maxDescriptors: number;
  /**
   * Minimum severity of log lines.
   */
  logLevel: "debug" | "info" | "warn" | "error";
}
/**
 * Listener for callers and operators.
 */
export interface Listener {
  /**
   * IP address to listen on.
   */
  host: string;
  /**
   * TCP port to listen on.
   */
  port: number;
}
/**
 * Listener for the other instances.
 */
export interface Listener1 {
  /**
   * IP address to listen on.
   */
  host: string;
  /**
   * TCP port to listen on.
   */
  port: number;
}

/** JSON Schema of the settings above. */
export const DAEMON_SCHEMA = {
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "DaemonSettings",
  "description": "Settings of one instance, read from its settings file at startup.",
  "type": "object",
  "additionalProperties": false,
  "required": [
    "instanceId",
    "region",
    "zone",
    "callers",
    "peers",
    "platform",
    "keys"
  ],
  "properties": {
    "instanceId": {
      "type": "string",
      "pattern": "^[a-z0-9-]{1,64}$",
      "description": "Name of this instance, unique in the region."
    },
    "region": {
      "type": "string",
      "pattern": "^[a-z0-9-]{1,32}$",
      "description": "Region of this instance; prefix of the ids of programs opened here."
    },
    "zone": {
      "type": "string",
      "pattern": "^[a-z0-9-]{1,64}$",
      "description": "Availability zone of this instance."
    },
    "callers": {
      "$ref": "#/definitions/listener",
      "description": "Listener for callers and operators."
    },
    "peers": {
      "$ref": "#/definitions/listener",
      "description": "Listener for the other instances."
    },
    "platform": {
      "type": "object",
      "additionalProperties": false,
      "required": [
        "logUrl",
        "instanceListUrl"
      ],
      "description": "Endpoints of the platform's services.",
      "properties": {
        "logUrl": {
          "type": "string",
          "pattern": "^http://",
          "description": "Base URL of the log service."
        },
        "instanceListUrl": {
          "type": "string",
          "pattern": "^http://",
          "description": "Base URL of the instance list."
        }
      }
    },
    "keys": {
      "type": "object",
      "additionalProperties": false,
      "required": [
        "customersFile",
        "operatorsFile"
      ],
      "description": "Files of API keys, with one 'name key' pair per line. Paths are relative to this settings file.",
      "properties": {
        "customersFile": {
          "type": "string",
          "description": "File of the customers' keys."
        },
        "operatorsFile": {
          "type": "string",
          "description": "File of the operators' keys."
        }
      }
    },
    "timing": {
      "type": "object",
      "additionalProperties": false,
      "default": {},
      "description": "Timing of the protocol between instances. All instances of a region must use the same values.",
      "properties": {
        "heartbeatMs": {
          "type": "integer",
          "minimum": 20,
          "maximum": 10000,
          "default": 200,
          "description": "Interval between heartbeats to a peer, in ms."
        },
        "failureTimeoutMs": {
          "type": "integer",
          "minimum": 100,
          "maximum": 60000,
          "default": 1500,
          "description": "Time without an answer after which a peer is proposed for removal from the view, in ms."
        },
        "leaseMs": {
          "type": "integer",
          "minimum": 100,
          "maximum": 60000,
          "default": 1200,
          "description": "Lease duration in ms: an owner dispatches calls only this long after the view was last confirmed."
        },
        "viewSilenceMs": {
          "type": "integer",
          "minimum": 500,
          "maximum": 600000,
          "default": 10000,
          "description": "Time without a record of the view's members after which an instance outside the view forms a new view, in ms."
        },
        "checkpointMs": {
          "type": "integer",
          "minimum": 1000,
          "maximum": 86400000,
          "default": 600000,
          "description": "Interval between checkpoints of the owned programs, in ms; at most a third of the log's retention."
        },
        "appendsPerSecond": {
          "type": "integer",
          "minimum": 1,
          "maximum": 100000,
          "default": 300,
          "description": "Maximum appends per second to the log service by all instances together, shared equally among them."
        }
      }
    },
    "memoryMb": {
      "type": "number",
      "exclusiveMinimum": 0,
      "default": 256,
      "description": "Memory of the machine for this process, in MB. Half of what exceeds 180 MB, but between 8 and 64 MB, is for clients: bodies that are being received, requests sent ahead and answers that are not read."
    },
    "maxDescriptors": {
      "type": "integer",
      "minimum": 1,
      "default": 4096,
      "description": "Maximum number of file descriptors of this process. Of those beyond 200, 19 in 100 are for connections of callers and as many for connections of peers, with at most 6 of each kind per MB of memory."
    },
    "logLevel": {
      "enum": [
        "debug",
        "info",
        "warn",
        "error"
      ],
      "default": "info",
      "description": "Minimum severity of log lines."
    }
  },
  "definitions": {
    "listener": {
      "title": "Listener",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "host",
        "port"
      ],
      "properties": {
        "host": {
          "type": "string",
          "description": "IP address to listen on."
        },
        "port": {
          "type": "integer",
          "minimum": 0,
          "maximum": 65535,
          "description": "TCP port to listen on."
        }
      }
    }
  }
};
