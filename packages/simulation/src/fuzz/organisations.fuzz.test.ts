import { Refusal } from "@waxwingspread/workflow";
import fc from "fast-check";
import { expect, it } from "vitest";
import { KeyedCallers, KEYS, ORGANISATION_OF_KEY } from "../model/keyed-callers.js";
import { FUZZ_OPTIONS } from "./fuzz-deployment.js";

const RUNS = Number(process.env.WORKFLOW_FUZZ_RUNS ?? 300);
const SEED = Number(process.env.WORKFLOW_FUZZ_SEED ?? 20_261_207);
const MAX_ACTIONS = 60;
/** Time within which a new leader serves and has answered what was called, even if the log has just stalled. */
const FAILOVER_MS = 10_000;
const ANSWER_MS = 1_000;
/** Time after which a suspended leader is replaced. */
const REPLACEMENT_MS = 600;

type Action = (callers: KeyedCallers) => void;
/** An action and how reports of counterexamples show it. */
interface NamedAction {
    action: Action;
    toString: () => string;
}

const named = (name: string, action: Action): NamedAction => ({ action, toString: () => name });

const callArbitrary: fc.Arbitrary<NamedAction> = fc
    .tuple(
        fc.constantFrom("submit", "submit", "read", "cancel", "count"),
        fc.integer({ min: 1, max: 4 }),
        fc.constantFrom(...KEYS, "unknown"),
        fc.boolean(),
    )
    .map(([operation, number, key, isForReplacedLeader]) => {
        const id = `j${number}`;
        return isForReplacedLeader
            ? named(
                `${operation} ${id} with ${key} at a replaced leader`,
                callers => callers.callReplacedLeader(operation, id, key),
            )
            : named(`${operation} ${id} with ${key}`, callers => void callers.call(operation, id, key));
    });

const configureArbitrary: fc.Arbitrary<NamedAction> = fc.subarray(KEYS).map(keys =>
    named(`configure ${keys.join()}`, callers => void callers.configure(keys))
);

const advanceArbitrary: fc.Arbitrary<NamedAction> = fc.constantFrom(1, 5, 20, 100, 700, 3_000).map(durationMs =>
    named(`advance ${durationMs}`, callers => callers.advance(durationMs))
);

const disruptionArbitrary: fc.Arbitrary<NamedAction> = fc.oneof(
    fc.constant(named("lose the leader", callers => callers.loseLeader())),
    fc.integer({ min: 100, max: 4_000 }).map(durationMs =>
        named(`suspend the leader for ${durationMs}`, callers => callers.suspendLeader(durationMs))
    ),
    fc.integer({ min: 100, max: 1_500 }).map(durationMs =>
        named(`stall the log for ${durationMs}`, callers => callers.stallLog(durationMs))
    ),
);

/** Keeps a leader suspended that has been replaced, so that calls and changes of the keys follow at either of them. */
const replaceArbitrary: fc.Arbitrary<NamedAction> = fc.integer({ min: 1_000, max: 6_000 }).map(durationMs =>
    named(`replace the leader and suspend it for ${durationMs}`, callers => {
        callers.suspendLeader(durationMs);
        callers.advance(REPLACEMENT_MS);
    })
);

const actionArbitrary = fc.oneof(
    { weight: 8, arbitrary: callArbitrary },
    { weight: 2, arbitrary: configureArbitrary },
    { weight: 4, arbitrary: advanceArbitrary },
    { weight: 1, arbitrary: disruptionArbitrary },
    { weight: 1, arbitrary: replaceArbitrary },
);

/** Returns what is wrong once all disruptions have ended: accepted jobs that their organisations can't read. */
const findFinalViolations = (callers: KeyedCallers): string[] => {
    callers.loseLeader();
    callers.advance(FAILOVER_MS);
    callers.heal();
    if (!callers.configure(KEYS, ANSWER_MS)) {
        return ["the last configuration is not acknowledged"];
    }
    return [...callers.oracle.owners].flatMap(([jobId, owner]) =>
        Object.entries(ORGANISATION_OF_KEY).flatMap(([key, organisation]) => {
            const result = callers.call("read", jobId, key, ANSWER_MS);
            const outcome = result === undefined || result.ok ? result?.ok : result.refusal;
            const foreign = organisation === undefined ? Refusal.Unauthenticated : Refusal.UnknownJob;
            const expected = organisation === owner ? true : foreign;
            return outcome === expected ? [] : [`read of ${jobId} of ${owner} with ${key}: ${String(outcome)}`];
        })
    );
};

// Guards against calls that succeed with a key that was taken away, and against organisations that read, cancel or take over
// the jobs of others, while leaders are lost or act after they were suspended and replaced.
it("keeps keys and owners through any sequence of calls, configurations and changes of the leader", () => {
    fc.assert(
        fc.property(
            fc.integer(),
            fc.array(actionArbitrary, { maxLength: MAX_ACTIONS, size: "max" }),
            (seed, actions) => {
                const callers = new KeyedCallers(seed, FUZZ_OPTIONS.settings);
                callers.advance(ANSWER_MS);
                actions.forEach(({ action }) => action(callers));
                const finalViolations = findFinalViolations(callers);
                expect([...callers.oracle.violations, ...finalViolations]).toEqual([]);
            },
        ),
        { numRuns: RUNS, seed: SEED, endOnFailure: false },
    );
}, 600_000);
