import type {
    CallResult,
    Configuration,
    HeartbeatOrders,
    HeartbeatReport,
    JobPreview,
    JobSpecification,
    JobState,
    MaintenanceOrder,
    MaintenanceState,
    QueueAddress,
} from "@waxwingspread/workflow";

/** Operations that an entry forwards to the leader. */
export enum ForwardedOperation {
    Submit = "submit",
    Cancel = "cancel",
    JobState = "job-state",
    PendingJobs = "pending-jobs",
}

/** A caller's request at an address, with the digest of its API key if it has one. */
export interface KeyedRequest {
    address: QueueAddress;
    /**
     * SHA-256 digest in hexadecimal digits, never the key itself; null for a request without a key. Entries of former
     * versions don't send the field.
     */
    keyDigest?: string | null;
}

/** A caller's request for one job. Entries of former versions send neither address nor key. */
export type JobRequest = Partial<KeyedRequest> & { jobId: string };

/** Request type of each forwarded operation. */
export interface ForwardedRequests {
    [ForwardedOperation.Submit]: KeyedRequest & { job: JobSpecification };
    [ForwardedOperation.Cancel]: JobRequest;
    [ForwardedOperation.JobState]: JobRequest;
    [ForwardedOperation.PendingJobs]: KeyedRequest;
}

/** Result type of each forwarded operation. */
export interface ForwardedValues {
    [ForwardedOperation.Submit]: undefined;
    [ForwardedOperation.Cancel]: undefined;
    [ForwardedOperation.JobState]: JobState;
    [ForwardedOperation.PendingJobs]: number;
}

/** Response to a forwarded call. */
export interface ForwardedResponse<Operation extends ForwardedOperation> {
    result: CallResult<ForwardedValues[Operation]>;
    /** Host of the leader that the responding replica knows; undefined if it knows none. */
    leaderHost: string | undefined;
}

/** Asks what would happen to a submission. */
export type PreviewRequest = ForwardedRequests[ForwardedOperation.Submit];

/** Response to a {@link PreviewRequest}. Only the leader knows the servers. */
export interface PreviewResponse {
    result: CallResult<JobPreview>;
    /** Host of the leader that the responding replica knows; undefined if it knows none. */
    leaderHost: string | undefined;
}

/** Cluster state from the view of one control replica. */
export interface ClusterDescription {
    leaderHost: string | undefined;
    /** Hosts of all replicas in the membership. */
    memberHosts: string[];
    /** Whether the responding replica is the leader and serves requests. */
    isServing: boolean;
    /** Hosts that take the heartbeats of a large fleet in place of the leader; only the leader reports them. */
    heartbeatHosts?: string[];
    /** State of the voters; only the leader reports it. */
    voterStatus?: VoterStatus;
}

/** Number of voters compared with the losses that must be tolerated. */
export interface VoterStatus {
    /** Voters that respond and whose disks are intact. */
    voters: number;
    /** Voters that the tolerated losses require. */
    targetVoters: number;
    /** Further voters whose loss leaves a majority. */
    tolerableLosses: number;
    /** Whether the worst tolerated loss leaves a majority. */
    isSufficient: boolean;
}

/** Request of a replica to become a member of the cluster. */
export interface JoinRequest {
    name: string;
    diskId: string;
    address: string;
    availabilityZone: string;
    /** Whether the replica has ever belonged to a cluster. */
    isFormed: boolean;
}

/** Hosts of the members, which the leader announces to seeds that are not members. */
export interface MembersAnnouncement {
    memberHosts: string[];
}

/** Response to a {@link JoinRequest}. */
export interface JoinResponse {
    /** Whether the replica is a member now. */
    isMember: boolean;
    /** Host of the leader that the responding replica knows; undefined if it knows none. Only a leader adds members. */
    leaderHost?: string | undefined;
    /** Whether the replica is to form the cluster alone, since no seed has a disk. */
    mayFound?: boolean;
}

/** Answer to a heartbeat. */
export interface HeartbeatAnswer {
    orders: HeartbeatOrders;
    /** Host to which the server sends its next heartbeat. */
    nextHost: string;
}

/** Result of a heartbeat; undefined for an outdated one, which gets no orders. */
export type HeartbeatResult = CallResult<HeartbeatAnswer | undefined>;

/** Heartbeats that a replica passes on to the leader. */
export interface HeartbeatBatch {
    /** Host of the replica at which they have arrived. */
    fromHost: string;
    reports: HeartbeatReport[];
}

/** Results of the heartbeats of a batch, in its order. */
export interface HeartbeatBatchResponse {
    results: HeartbeatResult[];
}

/** Operations for operators, and for backend servers beside their heartbeats. */
export enum OperatorOperation {
    Configure = "configure",
    ReadConfiguration = "read-configuration",
    OrderMaintenance = "order-maintenance",
    MaintenanceState = "maintenance-state",
    SetZone = "set-zone",
    /** Announced exit of a backend server. */
    Leave = "leave",
}

/** Request type of each operation for operators. */
export interface OperatorRequests {
    [OperatorOperation.Configure]: { configuration: Configuration };
    [OperatorOperation.ReadConfiguration]: Record<string, never>;
    [OperatorOperation.OrderMaintenance]: { order: MaintenanceOrder };
    [OperatorOperation.MaintenanceState]: { id: number };
    [OperatorOperation.SetZone]: { availabilityZone: string; isOutOfService: boolean };
    [OperatorOperation.Leave]: { serverId: string };
}

/** Result type of each operation for operators. */
export interface OperatorValues {
    [OperatorOperation.Configure]: void;
    /** The document of the configuration as it was sent; undefined before the first. */
    [OperatorOperation.ReadConfiguration]: string | undefined;
    [OperatorOperation.OrderMaintenance]: void;
    /** Undefined if the id is unknown. */
    [OperatorOperation.MaintenanceState]: MaintenanceState | undefined;
    [OperatorOperation.SetZone]: void;
    [OperatorOperation.Leave]: void;
}

/** An operator's call. */
export interface OperatorCall<Operation extends OperatorOperation = OperatorOperation> {
    operation: Operation;
    request: OperatorRequests[Operation];
}

/** An operator's call that a follower passes on to the leader. */
export interface PassedOnCall {
    operatorCall: OperatorCall;
    /** Time that is left until the follower refuses the call. */
    maxWaitMs: number;
}

/** Messages between replicas beside those of the log. */
export type ReplicaCall = HeartbeatBatch | PassedOnCall;

/** Operations of a control replica for backend servers and operators. */
export interface ControlOperations {
    readonly leaderHost: string | undefined;
    heartbeat(report: HeartbeatReport): Promise<HeartbeatResult>;
    /** Executes an operator's call or passes it on to the leader. Refused with NotLeader, it has to go to the leader. */
    callOperator<Operation extends OperatorOperation>(
        operation: Operation,
        request: OperatorRequests[Operation],
    ): Promise<CallResult<OperatorValues[Operation]>>;
}

/** Returns the path of a forwarded operation on the internal listener. */
export const forwardedPath = (operation: ForwardedOperation): string => `/workflow/${operation}`;

/** Path of previews of submissions on the internal listener. */
export const PREVIEW_PATH = "/workflow/preview";

/** Path of the description of the cluster on the internal listener. */
export const CLUSTER_PATH = "/cluster";

/** Path of requests to join on the internal listener. */
export const JOIN_PATH = "/cluster/join";

/** Path of a replica's description of itself on the internal listener. */
export const DESCRIBE_PATH = "/replica";

/** Path of announcements of the members on the internal listener of a relay. */
export const ANNOUNCE_PATH = "/cluster/members";
