// Generated from schema/ by scripts/generate_schemas.ts.

/**
 * Settings of one instance, read from its own file at start.
 */
export interface DaemonSettings {
  /**
   * Name of this instance, unique in the region.
   */
  instanceId: string;
  /**
   * Region of this instance. Programs opened here are named after it.
   */
  region: string;
  /**
   * Availability zone of this instance.
   */
  zone: string;
  callers: Listener;
  peers: Listener1;
  /**
   * Services of the platform.
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
   * Files that hold API keys, one 'name key' pair a line. Paths are relative to this settings file.
   */
  keys: {
    /**
     * Keys of the customers.
     */
    customersFile: string;
    /**
     * Keys of the operators.
     */
    operatorsFile: string;
  };
  /**
   * Times of the protocol between instances. All instances of a region use the same values.
   */
  timing: {
    /**
     * Time between two heartbeats to a peer, in ms.
     */
    heartbeatMs: number;
    /**
     * A peer that was silent for so long, in ms, is proposed for removal.
     */
    failureTimeoutMs: number;
    /**
     * An owner dispatches only within so many ms of its last confirmation of the view.
     */
    leaseMs: number;
    /**
     * An instance outside the view forms a new one after so many ms without a record of the view's members.
     */
    viewSilenceMs: number;
    /**
     * Time between two checkpoints of the owned programs, in ms; at most a third of the log's retention.
     */
    checkpointMs: number;
    /**
     * Appends to the log service that all instances together may make in a second; each takes an equal share.
     */
    appendsPerSecond: number;
  };
  /**
   * Least severe level that is logged.
   */
  logLevel: "debug" | "info" | "warn" | "error";
}
/**
 * Where callers and operators connect.
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
 * Where the other instances connect.
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
  "description": "Settings of one instance, read from its own file at start.",
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
      "description": "Region of this instance. Programs opened here are named after it."
    },
    "zone": {
      "type": "string",
      "pattern": "^[a-z0-9-]{1,64}$",
      "description": "Availability zone of this instance."
    },
    "callers": {
      "$ref": "#/definitions/listener",
      "description": "Where callers and operators connect."
    },
    "peers": {
      "$ref": "#/definitions/listener",
      "description": "Where the other instances connect."
    },
    "platform": {
      "type": "object",
      "additionalProperties": false,
      "required": [
        "logUrl",
        "instanceListUrl"
      ],
      "description": "Services of the platform.",
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
      "description": "Files that hold API keys, one 'name key' pair a line. Paths are relative to this settings file.",
      "properties": {
        "customersFile": {
          "type": "string",
          "description": "Keys of the customers."
        },
        "operatorsFile": {
          "type": "string",
          "description": "Keys of the operators."
        }
      }
    },
    "timing": {
      "type": "object",
      "additionalProperties": false,
      "default": {},
      "description": "Times of the protocol between instances. All instances of a region use the same values.",
      "properties": {
        "heartbeatMs": {
          "type": "integer",
          "minimum": 20,
          "maximum": 10000,
          "default": 200,
          "description": "Time between two heartbeats to a peer, in ms."
        },
        "failureTimeoutMs": {
          "type": "integer",
          "minimum": 100,
          "maximum": 60000,
          "default": 1500,
          "description": "A peer that was silent for so long, in ms, is proposed for removal."
        },
        "leaseMs": {
          "type": "integer",
          "minimum": 100,
          "maximum": 60000,
          "default": 1200,
          "description": "An owner dispatches only within so many ms of its last confirmation of the view."
        },
        "viewSilenceMs": {
          "type": "integer",
          "minimum": 500,
          "maximum": 600000,
          "default": 10000,
          "description": "An instance outside the view forms a new one after so many ms without a record of the view's members."
        },
        "checkpointMs": {
          "type": "integer",
          "minimum": 1000,
          "maximum": 86400000,
          "default": 600000,
          "description": "Time between two checkpoints of the owned programs, in ms; at most a third of the log's retention."
        },
        "appendsPerSecond": {
          "type": "integer",
          "minimum": 1,
          "maximum": 100000,
          "default": 300,
          "description": "Appends to the log service that all instances together may make in a second; each takes an equal share."
        }
      }
    },
    "logLevel": {
      "enum": [
        "debug",
        "info",
        "warn",
        "error"
      ],
      "default": "info",
      "description": "Least severe level that is logged."
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
