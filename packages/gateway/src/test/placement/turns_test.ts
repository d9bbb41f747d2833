import { expect } from 'chai';
import { SimulatedPlacement } from './simulated-placement.js';

const LOAD_MS = 5_000;
const ENGINE_COUNT = 8;
const DURATION_MS = 240_000;
const rareModels = Array.from({ length: 30 }, (_, index) => `rare${index}`);

/** Longest time that callers may ask for a model in vain, in milliseconds. */
const WAIT_MAX_MS = 96_000;

const scene = {
  engineCount: ENGINE_COUNT,
  loadMs: LOAD_MS,
  storeLoadsPerSecond: 4,
  rareModels,
  askPeriodMs: 4_000,
};

// Demand that exceeds what the engines serve, so that further replicas always gain something.
const steadyDemand = { busy0: 90_000, busy1: 60_000, busy2: 60_000, busy3: 60_000 };

// The model with most callers changes every ten seconds.
const shiftingDemand = (atMs: number) =>
  Object.fromEntries(
    Object.keys(steadyDemand).map((model, index) => [
      model,
      Math.floor(atMs / 10_000) % 4 === index ? 200_000 : 20_000,
    ]),
  );

// SHORT: callers of rare models were refused, told to return, and refused again for a whole day, since a model was
// forgotten while its callers were away and models with more demand took every load (issue 56).
describe('Placement of models that are asked for again and again, with few places', () => {
  Object.entries({ steady: () => steadyDemand, shifting: shiftingDemand }).forEach(
    ([name, busyDemand]) => {
      describe(`beside ${name} demand for busy models`, () => {
        const placement = new SimulatedPlacement({ ...scene, busyDemand });

        before(() => placement.run(DURATION_MS));

        it('gives every model a replica within a bounded time', () => {
          const late = [...placement.callers.records].filter(
            ([, { servedCount, waitMaxMs }]) => servedCount === 0 || waitMaxMs > WAIT_MAX_MS,
          );
          expect(placement.callers.records.size).to.equal(rareModels.length);
          expect(late).to.deep.equal([]);
        });

        it('plans a load for every model whose callers were told to return', () => {
          expect(placement.unplanned).to.deep.equal([]);
        });

        it('keeps a replica of every busy model', () => {
          expect([...placement.busyReplicaMin.values()]).to.have.lengthOf(4);
          expect(Math.min(...placement.busyReplicaMin.values())).to.be.at.least(1);
        });
      });
    },
  );
});
