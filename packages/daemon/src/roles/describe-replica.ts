import { create } from "@bufbuild/protobuf";
import type { Replica } from "@waxwingspread/consensus";
import { DescribeResponseSchema } from "@waxwingspread/protocol";
import type { DescribeResponse } from "@waxwingspread/protocol";

/** Returns the response of a replica to a Describe call. */
export const describeReplica = (replica: Replica): DescribeResponse =>
    create(DescribeResponseSchema, {
        identity: replica.identity,
        formed: replica.isFormed,
        term: replica.term,
        lastIndex: replica.lastIndex,
        leaderAddress: replica.leader?.address ?? "",
        membership: replica.membership,
    });
