/** Sources of time: the clocks of the runtime, and a clock that tests pause and advance. */
package org.lentilsail.model.time;
