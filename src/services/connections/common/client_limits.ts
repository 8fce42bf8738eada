/** Limits on what a process keeps for its clients, from the resources of its machine. */

const BYTES_PER_MB = 1024 * 1024;
/** Share of the rest for clients: what is not charged, such as buffers of Node.js, needs the other part. */
const CLIENT_MEMORY_SHARE = 0.5;
/** At least two bodies of the usual limit; at most what the heap holds of requests that wait. */
const MIN_CLIENT_BYTES = 8 * BYTES_PER_MB;
const MAX_CLIENT_BYTES = 64 * BYTES_PER_MB;
/** Descriptors for files, which sockets must leave free. */
const FILE_DESCRIPTORS = 200;
/**
 * Shares of the other descriptors. Each connection of a client may need one more to a backend server, and a quarter of them may be
 * closing; the rest is for connections to peers and to the store.
 */
const CALLER_SHARE = 0.19;
const PEER_SHARE = 0.19;
const MIN_CONNECTIONS = 16;
/** An idle connection takes up to 20 KB. */
const CONNECTIONS_PER_MB = 6;
/** Connections of the load balancer's probe, and of the readers of metrics. */
const INTERNAL_CONNECTIONS = 16;

export interface IMachineResources {
  /** Memory in MB. */
  readonly memoryMb: number;
  readonly maxDescriptors: number;
  /** Memory of the process at ordinary load, and what the garbage collector needs while clients send at full speed, in MB. */
  readonly processMb: number;
}

export interface IClientLimits {
  /** Memory for all clients, in bytes. */
  readonly memoryBytes: number;
  readonly callerConnections: number;
  readonly peerConnections: number;
  readonly probeConnections: number;
  readonly metricsConnections: number;
}

export function clientLimitsOf({ memoryMb, maxDescriptors, processMb }: IMachineResources): IClientLimits {
  const clientBytes = (memoryMb - processMb) * CLIENT_MEMORY_SHARE * BYTES_PER_MB;
  const connections = (share: number) => {
    const byDescriptors = Math.floor((maxDescriptors - FILE_DESCRIPTORS) * share);
    return Math.max(MIN_CONNECTIONS, Math.min(byDescriptors, memoryMb * CONNECTIONS_PER_MB));
  };
  return {
    memoryBytes: Math.floor(Math.min(MAX_CLIENT_BYTES, Math.max(MIN_CLIENT_BYTES, clientBytes))),
    callerConnections: connections(CALLER_SHARE),
    peerConnections: connections(PEER_SHARE),
    probeConnections: INTERNAL_CONNECTIONS,
    metricsConnections: INTERNAL_CONNECTIONS,
  };
}
