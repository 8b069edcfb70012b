// The platform's interface to its machines (`cloud_api`): upkeep of the machines of a wave, with a fence for each machine.
import { createServer } from "node:http";

const MAINTENANCE_MS = 2000;

export class Platform {
    /** `waves` lists the machines by wave. `onDown` ends what runs on a machine, `onBack` starts its new worker. */
    constructor({ host, port, record, onDown, onBack }) {
        Object.assign(this, { host, port, record, onDown, onBack });
        this.waves = new Map();
        this.machines = new Map();
        /** Begun upkeeps, with the number of machines of the wave that were down then. */
        this.upkeeps = [];
        this.server = createServer((request, response) => void this.#handle(request, response));
    }

    listen() {
        return new Promise(resolve => this.server.listen(this.port, this.host, resolve));
    }

    addMachine(name) {
        this.machines.set(name, { fence: 0, state: "up", done: new Set() });
    }

    async #handle(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const { status, body } = request.url === "/v1/machine-upkeep"
            ? this.#upkeep(JSON.parse(Buffer.concat(chunks).toString()), request.headers)
            : { status: 404, body: {} };
        response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
    }

    #upkeep({ machine: name, wave }, headers) {
        const holder = headers["waxwingspread-lease-holder"];
        const fence = Number(headers["waxwingspread-fence-token"]);
        const answer = (status, reason) => {
            this.record("upkeep-call", { machine: name, wave, holder, fence, status, reason });
            return { status, body: reason === undefined ? {} : { reason } };
        };
        const machine = this.machines.get(name);
        if (machine === undefined) {
            return answer(400);
        }
        if (fence < machine.fence) {
            return answer(409, "fence");
        }
        machine.fence = fence;
        if (machine.done.has(wave)) {
            return answer(200);
        }
        if (!(this.waves.get(wave) ?? []).includes(name)) {
            return answer(409, "wave");
        }
        if (machine.state !== "up") {
            return answer(409, "busy");
        }
        const down = this.waves.get(wave).filter(other => this.machines.get(other).state === "upkeep");
        this.upkeeps.push({ name, wave, down });
        this.record("upkeep-begins", { machine: name, wave, holder, fence, alsoDown: down });
        machine.state = "upkeep";
        machine.done.add(wave);
        this.onDown(name);
        setTimeout(() => {
            machine.state = "up";
            this.record("upkeep-ends", { machine: name });
            this.onBack(name);
        }, MAINTENANCE_MS);
        return answer(200);
    }
}
