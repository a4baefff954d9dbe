/** The state of the fleet that the holder of control owns and the platform keeps. */
package org.lentilsail.model.fleet;
