import { parentPort, workerData } from 'node:worker_threads';
import { EngineStandIn } from '@chervilseam/stand-ins';

/** Runs a stand-in engine in its own thread, so that it does not compete with the daemons for a core. */
const engine = new EngineStandIn(workerData as ConstructorParameters<typeof EngineStandIn>[0]);
await engine.listen();
parentPort?.postMessage(engine.url);
