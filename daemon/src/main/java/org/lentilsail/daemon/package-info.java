/** The entry daemon: creates and runs the components of the library. */
package org.lentilsail.daemon;
